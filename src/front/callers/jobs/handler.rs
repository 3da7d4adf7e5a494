use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Method, Request, Response, StatusCode};

use super::caller::Caller;
use super::path::Path;
use super::store::Store;
use super::view::View;
use super::{cancel, read, submit};
use crate::admit::Refusal;
use crate::fleet::Digest;
use crate::front::callers::body::Body;
use crate::front::callers::reply::Reply;
use crate::front::callers::request::{OUTCOME, check_head, read_key};
use crate::peer::Hub;
use crate::platform::{Row, Table};

/// What the requests about jobs share.
pub struct Handler {
    pub(super) store: Store,
    pub(super) hub: Arc<Hub>,
    sequence: AtomicU64,
}

impl Handler {
    /// Makes a handler over the rows of `table`. It needs a runtime, for the task that writes.
    pub fn start(table: Arc<dyn Table>, hub: Arc<Hub>) -> Arc<Self> {
        Arc::new(Self {
            store: Store::start(table, hub.clone()),
            hub,
            sequence: AtomicU64::new(0),
        })
    }

    /// Returns whether a path is about jobs.
    pub(in crate::front::callers) fn takes(path: &str) -> bool {
        path.starts_with("/v1/queues/") || path.starts_with("/v1/jobs/")
    }

    /// Answers one request about jobs.
    pub(in crate::front::callers) async fn answer(
        &self,
        request: Request<Incoming>,
    ) -> Response<Body> {
        match self.run(request).await {
            Ok(response) => response,
            Err(reply) => reply.into_response(),
        }
    }

    async fn run(&self, request: Request<Incoming>) -> Result<Response<Body>, Reply> {
        let (parts, body) = request.into_parts();
        check_head(&parts)?;
        let request = Request::from_parts(parts, body);
        let unknown = Reply::not_run(StatusCode::NOT_FOUND, "unknown path");
        let path = Path::read(request.uri()).ok_or(unknown)?;
        let caller = self.enter(&request)?;
        match (request.method(), path) {
            (&Method::POST, Path::Queue { queue, .. }) => {
                caller.check_queue(&queue)?;
                submit::submit(self, &caller, &queue, request).await
            }
            (
                &Method::GET,
                Path::Queue {
                    queue,
                    after,
                    limit,
                },
            ) => {
                caller.check_queue(&queue)?;
                read::list(self, &caller, &queue, &after, limit).await
            }
            (&Method::GET, Path::Job { queue, id }) => read::get(self, &caller, &queue, &id).await,
            (&Method::DELETE, Path::Job { queue, id }) => {
                cancel::cancel(self, &caller, &queue, &id).await
            }
            _ => Err(Reply::not_run(
                StatusCode::METHOD_NOT_ALLOWED,
                "method is not POST, GET or DELETE",
            )),
        }
    }

    /// Finds the workspace of the key that came with a request.
    fn enter(&self, request: &Request<Incoming>) -> Result<Caller, Reply> {
        let dispatcher = self.hub.control().dispatcher();
        let missing = Reply::not_run(StatusCode::UNAUTHORIZED, "missing key");
        let key = read_key(request.headers()).ok_or(missing)?;
        if !dispatcher.is_fresh(crate::clock::now()) {
            return Err(Refusal::Stale.into());
        }
        let wrong = Reply::not_run(StatusCode::UNAUTHORIZED, "unknown or withdrawn key");
        Caller::find(dispatcher.enforced(), &key).ok_or(wrong)
    }

    /// Makes an id that no other submission gets.
    pub(super) fn new_id(&self) -> String {
        let own = self.hub.control().own();
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        short(&format!("{} {} {sequence}", own.name, own.incarnation))
    }
}

/// Makes an id of 32 hexadecimal digits.
pub(super) fn short(text: &str) -> String {
    let mut digits = Digest::of(text.as_bytes()).to_string();
    digits.truncate(32);
    digits
}

/// Makes the answer about one job.
pub(super) fn show(status: StatusCode, queue: &str, row: &Row) -> Result<Response<Body>, Reply> {
    let broken = Reply::unknown(StatusCode::INTERNAL_SERVER_ERROR, "row is malformed");
    let view = View::read(queue, row).ok_or(broken)?;
    Ok(respond(status, &view))
}

/// Makes an answer in JSON.
pub(super) fn respond<T: serde::Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let text = serde_json::to_string(value).expect("views have only string keys");
    let mut response = Response::new(Body::text(text));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(OUTCOME, HeaderValue::from_static("answered"));
    if status == StatusCode::SERVICE_UNAVAILABLE {
        headers.insert(RETRY_AFTER, HeaderValue::from_static("1"));
    }
    response
}

/// Answer while the table cannot be read; nothing was changed.
pub(super) fn unreadable() -> Reply {
    Refusal::StoreUnavailable.into()
}
