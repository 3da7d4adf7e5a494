use std::sync::atomic::AtomicBool;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use hyper::body::{Body as _, Incoming};
use hyper::http::request::Parts;
use hyper::{Request, StatusCode, Version};

use super::cause::Cause;
use super::claimed::read_claim_request;
use super::guard::Guard;
use super::port::Port;
use super::reply::Reply;
use super::request::{check_head, read_deadline, read_key, set_host, split_path};
use crate::admit::Refusal;
use crate::call::Order;
use crate::claim::ClaimRequest;
use crate::clock::Instant;
use crate::fleet::Snapshot;

/// A call that passed the checks of its request.
pub(super) struct Call {
    pub(super) order: Order,
    pub(super) parts: Parts,
    pub(super) body: Guard,
    pub(super) current: Arc<Snapshot>,
    /// Set when the body of the request failed.
    pub(super) cause: Arc<OnceLock<Cause>>,
    pub(super) start: Instant,
    /// Claim to be made before the call runs.
    pub(super) claim_request: Option<ClaimRequest>,
    /// True once the target may have got a byte.
    pub(super) sent: Arc<AtomicBool>,
}

/// Checks request, key, workspace and service.
pub(super) fn accept(
    port: &Port,
    request: Request<Incoming>,
    start: Instant,
) -> Result<Call, Reply> {
    let (mut parts, body) = request.into_parts();
    check_head(&parts)?;
    let missing = Reply::not_run(StatusCode::NOT_FOUND, "unknown path");
    let enforced = port.dispatcher.enforced();
    let current = enforced.first().ok_or(Reply::from(Refusal::Stale))?.clone();
    let (name, uri) = split_path(&parts.uri).ok_or(missing)?;
    let unknown = Reply::not_run(StatusCode::NOT_FOUND, "unknown service");
    let service = current.service_id(name).ok_or(unknown)?;
    let key =
        read_key(&parts.headers).ok_or(Reply::not_run(StatusCode::UNAUTHORIZED, "missing key"))?;
    let workspace = current
        .authenticate(&key)
        .filter(|workspace| {
            enforced
                .iter()
                .all(|s| s.authenticate(&key) == Some(*workspace))
        })
        .ok_or(Reply::not_run(
            StatusCode::UNAUTHORIZED,
            "unknown or withdrawn key",
        ))?;
    if !enforced.iter().all(|s| s.may_call(workspace, service)) {
        return Err(Reply::not_run(
            StatusCode::FORBIDDEN,
            "queue of other workspaces",
        ));
    }
    let settings = current.service(service).ok_or(unknown)?;
    let body_limit = settings.body_limit.min(port.limits.body_bytes);
    if body.size_hint().lower() > body_limit {
        return Err(Reply::not_run(
            StatusCode::PAYLOAD_TOO_LARGE,
            "request body too large",
        ));
    }
    let wanted = read_deadline(&parts.headers)?;
    let left = wanted.unwrap_or(Duration::from_millis(settings.timeout_ms.into()));
    let workspace_name = current.workspace(workspace).map_or("", |t| &*t.name);
    let claim_request = read_claim_request(&parts, workspace_name, body.size_hint().exact())?;
    set_host(&mut parts);
    parts.uri = uri;
    parts.version = Version::HTTP_11;
    let body = Guard::new(body, body_limit, port.limits.body_timeout);
    let cause = body.cause();
    let order = Order {
        service,
        workspace,
        key,
        deadline: start + left,
    };
    Ok(Call {
        order,
        parts,
        body,
        current,
        cause,
        start,
        claim_request,
        sent: Arc::default(),
    })
}
