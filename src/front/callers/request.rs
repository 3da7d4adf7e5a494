use std::sync::Arc;
use std::time::Duration;

use hyper::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName, HeaderValue,
    PROXY_AUTHORIZATION, TRANSFER_ENCODING, UPGRADE,
};
use hyper::http::request::Parts;
use hyper::{Method, StatusCode, Uri, Version};

use crate::fleet::Digest;

/// Header with the caller's deadline in milliseconds from now.
pub(super) const DEADLINE: HeaderName = HeaderName::from_static("coriandernotch-deadline-ms");

/// Header that tells the target which workspace calls.
pub(super) const WORKSPACE: HeaderName = HeaderName::from_static("coriandernotch-workspace");

/// Header with what is known of the call.
pub(super) const OUTCOME: HeaderName = HeaderName::from_static("coriandernotch-outcome");

/// Path prefix of calls.
const PREFIX: &str = "/v1/services/";

/// Headers that belong to one connection and are not sent on.
const HOP_BY_HOP: [HeaderName; 7] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    HeaderName::from_static("te"),
    HeaderName::from_static("trailer"),
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Longest deadline that a caller may ask for.
const MAX_DEADLINE: Duration = Duration::from_secs(600);

/// Why a request is refused before a workspace or a service is known.
pub(super) type Fault = (StatusCode, &'static str);

/// Splits the path into the service name and the path for the target.
pub(super) fn split_path(uri: &Uri) -> Option<(&str, Uri)> {
    let rest = uri.path().strip_prefix(PREFIX)?;
    let (service, _) = rest.split_once('/').unwrap_or((rest, ""));
    let path = &rest[service.len()..];
    let path = if path.is_empty() { "/" } else { path };
    let target = match uri.query() {
        Some(query) => format!("{path}?{query}").parse(),
        None => path.parse(),
    };
    Some((service, target.ok()?))
}

/// Refuses requests that can be read in two ways or ask for what is not offered.
///
/// hyper itself drops `Content-Length` beside `Transfer-Encoding`, in either order, and closes the
/// connection after the answer; the target gets the request framed anew.
pub(super) fn check_head(parts: &Parts) -> Result<(), Fault> {
    let headers = &parts.headers;
    let twice = |name| headers.get_all(name).iter().nth(1).is_some();
    let refuse = |reason| Err((StatusCode::BAD_REQUEST, reason));
    // The end of an answer of unknown length cannot be told from its loss.
    if parts.version < Version::HTTP_11 {
        let status = StatusCode::HTTP_VERSION_NOT_SUPPORTED;
        return Err((status, "HTTP/1.1 or HTTP/2 is needed"));
    }
    if headers.contains_key(&UPGRADE) {
        return Err((StatusCode::NOT_IMPLEMENTED, "upgrades are not supported"));
    }
    if twice(&HOST) {
        return refuse("more than one Host header");
    }
    if !headers.contains_key(&HOST) && parts.uri.authority().is_none() {
        return refuse("no Host header");
    }
    if twice(&CONTENT_LENGTH) || twice(&TRANSFER_ENCODING) {
        return refuse("more than one length header");
    }
    if headers.contains_key(&CONTENT_LENGTH) && headers.contains_key(&TRANSFER_ENCODING) {
        return refuse("both Content-Length and Transfer-Encoding");
    }
    if twice(&AUTHORIZATION) {
        return refuse("more than one Authorization header");
    }
    Ok(())
}

/// Sets the `Host` header from the authority of the request, which goes before the header
/// (RFC 9112, section 3.2.2); HTTP/2 requests have only the authority.
pub(super) fn set_host(parts: &mut Parts) {
    if let Some(authority) = parts.uri.authority()
        && let Ok(host) = HeaderValue::from_str(authority.as_str())
    {
        parts.headers.insert(HOST, host);
    }
}

/// Returns the digest of the bearer key.
pub(super) fn read_key(headers: &HeaderMap) -> Option<Digest> {
    let value = headers.get(AUTHORIZATION)?.as_bytes();
    let (scheme, key) = value.split_at_checked(7)?;
    scheme
        .eq_ignore_ascii_case(b"bearer ")
        .then(|| Digest::of(key))
}

/// Returns the deadline that the caller asked for.
pub(super) fn read_deadline(headers: &HeaderMap) -> Result<Option<Duration>, Fault> {
    let Some(value) = headers.get(DEADLINE) else {
        return Ok(None);
    };
    let wrong = (
        StatusCode::BAD_REQUEST,
        "Coriandernotch-Deadline-Ms is not a number from 1 to 600000",
    );
    let millis: u64 = value
        .to_str()
        .ok()
        .and_then(|v| v.parse().ok())
        .ok_or(wrong)?;
    let deadline = Duration::from_millis(millis);
    if deadline.is_zero() || deadline > MAX_DEADLINE {
        return Err(wrong);
    }
    Ok(Some(deadline))
}

/// Returns whether a method may be sent again without harm (RFC 9110, section 9.2.2).
pub(super) fn is_idempotent(method: &Method) -> bool {
    matches!(
        *method,
        Method::GET | Method::HEAD | Method::PUT | Method::DELETE | Method::OPTIONS | Method::TRACE
    )
}

/// Makes the headers for the target: without the key and without connection headers.
pub(super) fn rewrite_headers(headers: &mut HeaderMap, workspace: &Arc<str>, left: Duration) {
    let host = headers.remove(HOST);
    strip_hop_by_hop(headers);
    if let Some(host) = host {
        headers.insert(HOST, host);
    }
    // The body is framed anew, and `100 Continue` was sent by us.
    for name in [
        AUTHORIZATION,
        PROXY_AUTHORIZATION,
        CONTENT_LENGTH,
        EXPECT,
        WORKSPACE,
    ] {
        headers.remove(name);
    }
    headers.insert(
        DEADLINE,
        HeaderValue::from(u64::try_from(left.as_millis()).unwrap_or(u64::MAX)),
    );
    if let Ok(workspace) = HeaderValue::from_str(workspace) {
        headers.insert(WORKSPACE, workspace);
    }
}

/// Removes headers that belong to one connection, also those that `Connection` names.
pub(super) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}
