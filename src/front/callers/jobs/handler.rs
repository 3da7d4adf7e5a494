use std::sync::Arc;

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};

use super::caller::Caller;
use super::cancel::cancel;
use super::context::Context;
use super::path::Path;
use super::read::{get, list};
use super::submit::submit;
use crate::admit::Refusal;
use crate::front::callers::body::Body;
use crate::front::callers::reply::Reply;
use crate::front::callers::request::{check_head, read_key};
use crate::intake::Connection;
use crate::peer::Hub;
use crate::platform::Table;

/// Answers the requests about jobs.
pub struct Handler {
    context: Context,
}

impl Handler {
    /// Makes a handler over the rows of `table`. It needs a runtime, for the task that writes.
    pub fn start(table: Arc<dyn Table>, hub: Arc<Hub>) -> Arc<Self> {
        Arc::new(Self {
            context: Context::start(table, hub),
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
        connection: &Arc<Connection>,
    ) -> Response<Body> {
        match self.run(request, connection).await {
            Ok(response) => response,
            Err(reply) => reply.into_response(),
        }
    }

    async fn run(
        &self,
        request: Request<Incoming>,
        connection: &Arc<Connection>,
    ) -> Result<Response<Body>, Reply> {
        let (parts, body) = request.into_parts();
        check_head(&parts)?;
        let request = Request::from_parts(parts, body);
        let unknown = Reply::not_run(StatusCode::NOT_FOUND, "unknown path");
        let path = Path::read(request.uri()).ok_or(unknown)?;
        let caller = self.enter(&request)?;
        if request.method() != Method::POST {
            connection.complete();
        }
        match (request.method(), path) {
            (&Method::POST, Path::Queue { queue, .. }) => {
                caller.check_queue(&queue)?;
                submit(&self.context, &caller, &queue, request, connection).await
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
                list(&self.context, &caller, &queue, &after, limit).await
            }
            (&Method::GET, Path::Job { queue, id }) => {
                get(&self.context, &caller, &queue, &id).await
            }
            (&Method::DELETE, Path::Job { queue, id }) => {
                cancel(&self.context, &caller, &queue, &id).await
            }
            _ => Err(Reply::not_run(
                StatusCode::METHOD_NOT_ALLOWED,
                "method is not POST, GET or DELETE",
            )),
        }
    }

    /// Finds the workspace of the key that came with a request.
    fn enter(&self, request: &Request<Incoming>) -> Result<Caller, Reply> {
        let dispatcher = self.context.hub.control().dispatcher();
        let missing = Reply::not_run(StatusCode::UNAUTHORIZED, "missing key");
        let key = read_key(request.headers()).ok_or(missing)?;
        if !dispatcher.is_fresh(crate::clock::now()) {
            return Err(Refusal::Stale.into());
        }
        let wrong = Reply::not_run(StatusCode::UNAUTHORIZED, "unknown or withdrawn key");
        Caller::find(dispatcher.enforced(), &key).ok_or(wrong)
    }
}
