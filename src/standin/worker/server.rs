use std::sync::{Arc, Mutex, MutexGuard};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use serde_json::Value;
use tokio::net::{TcpListener, TcpStream};

use super::{Command, Machine, Need, Refusal};
use crate::clock;
use crate::standin::http::{Hangup, answer, body, json, unescape};
use crate::standin::serve::serve;

/// Largest request body in bytes.
const MAX_BODY: usize = 1 << 20;

/// Server of a [`Machine`].
pub struct Worker {
    machine: Mutex<Machine>,
}

impl Worker {
    /// Makes an idle worker of this size.
    ///
    /// ```
    /// use coriandernotch::standin::{Worker, worker::Need};
    ///
    /// assert!(Worker::new(Need::default()).machine().starts().is_empty());
    /// ```
    pub fn new(size: Need) -> Arc<Self> {
        Arc::new(Self {
            machine: Mutex::new(Machine::new(size)),
        })
    }

    /// Returns the state, to change its behaviour or to check it.
    ///
    /// ```
    /// use coriandernotch::standin::{Worker, worker::Need};
    ///
    /// Worker::new(Need::default()).machine().set_lag(std::time::Duration::ZERO);
    /// ```
    pub fn machine(&self) -> MutexGuard<'_, Machine> {
        self.machine.lock().expect("machine lock")
    }

    /// Serves connections from `listener`, one task for each, until dropped.
    ///
    /// ```
    /// use coriandernotch::standin::{Worker, worker::Need};
    ///
    /// # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
    /// let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    /// let server = tokio::spawn(Worker::new(Need::default()).serve(listener));
    /// server.abort();
    /// # });
    /// ```
    pub fn serve(
        self: &Arc<Self>,
        listener: TcpListener,
    ) -> impl Future<Output = ()> + Send + 'static {
        let worker = self.clone();
        serve(listener, "worker", move |stream| {
            connection(worker.clone(), stream)
        })
    }

    async fn respond(&self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Hangup> {
        let path = request.uri().path().to_owned();
        if request.method() == Method::GET && path == "/jobs" {
            return Ok(json(&self.machine().report(clock::now())));
        }
        if request.method() == Method::GET && path == "/machine" {
            return Ok(json(&self.machine().size()));
        }
        let job = path.strip_prefix("/jobs/");
        let (Some(job), &Method::POST) = (job, request.method()) else {
            return Ok(answer(StatusCode::BAD_REQUEST, "unknown call"));
        };
        let content = body(request, MAX_BODY).await?;
        let now = clock::now();
        let outcome = match job.split_once('/') {
            None => match serde_json::from_slice(&content) {
                Ok(order) => self.machine().run(&unescape(job), order, now),
                Err(_) => Err(Refusal::Malformed),
            },
            Some((id, verb)) => match parse(verb, &content) {
                Some((token, command)) => {
                    let done = self.machine().command(&unescape(id), token, command, now);
                    return Ok(done.map_or_else(refuse, |()| answer(StatusCode::NO_CONTENT, "")));
                }
                None => Err(Refusal::Malformed),
            },
        };
        Ok(match outcome {
            Ok(true) => answer(StatusCode::CREATED, ""),
            Ok(false) => answer(StatusCode::OK, ""),
            Err(refusal) => refuse(refusal),
        })
    }
}

/// Reads the token and the command; the verb in the path names the command.
fn parse(verb: &str, content: &[u8]) -> Option<(u64, Command)> {
    let mut value: Value = serde_json::from_slice(content).ok()?;
    let token = value.get("token")?.as_u64()?;
    let fields = value.as_object_mut()?;
    fields.insert("command".into(), verb.into());
    Some((token, Command::deserialize(value).ok()?))
}

fn refuse(refusal: Refusal) -> Response<Full<Bytes>> {
    match refusal {
        Refusal::Older(token) => answer(StatusCode::CONFLICT, token.to_string()),
        Refusal::Missing => answer(StatusCode::NOT_FOUND, ""),
        Refusal::Full => answer(StatusCode::SERVICE_UNAVAILABLE, "no room"),
        Refusal::Malformed => answer(StatusCode::BAD_REQUEST, "malformed order"),
    }
}

async fn connection(worker: Arc<Worker>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| worker.respond(request));
    // A client that goes away is no fault of the worker.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}
