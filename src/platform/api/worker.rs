use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;
use serde_json::json;

use super::call::Call;
use super::names::EXPECT_INSTANCE;
use super::poll::Poll;
use super::receipt::Receipt;
use super::report::{MAX_NUMBER, Report};
use super::start::Start;
use super::{Fault, Link, Response, task_name};
use crate::batch::{Launch, Renewal, Reply, Snapshot, TaskId};
use crate::clock::Instant;

/// Client of one process of a worker; requests that reach another process are rejected.
pub struct Worker {
    link: Link,
    id: Arc<str>,
    fencing_token: u64,
}

impl Worker {
    /// Creates a client that sends a fencing token with each request.
    ///
    /// ```
    /// let address = "127.0.0.1:1".parse().unwrap();
    /// drop(coriandernotch::platform::api::Worker::new(address, "i-1".into(), 1));
    /// ```
    pub fn new(address: SocketAddr, id: Arc<str>, fencing_token: u64) -> Self {
        let link = Link::new(address);
        Self {
            link,
            id,
            fencing_token,
        }
    }

    /// Returns the identifier of the worker process.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Starts a run with the lease that `grant` returns: its end on the clock of the worker in
    /// milliseconds. `grant` gets the time at which the connection was opened that is used.
    ///
    /// Returns the outcome and, if the worker reported it, the time on its clock in milliseconds.
    /// `None` if no lease was granted, so that nothing was sent.
    pub async fn start(
        &self,
        launch: &Launch,
        timeout: Duration,
        grant: impl Fn(Instant) -> Option<u64> + Sync,
    ) -> Option<(Reply, Option<u64>)> {
        let is_denied = AtomicBool::new(false);
        let body = |opened_at| {
            let deadline_ms = grant(opened_at);
            is_denied.store(deadline_ms.is_none(), Ordering::Relaxed);
            encode(&Start {
                task: task_name::encode(&launch.task),
                run: launch.number,
                spec: &launch.payload,
                deadline_ms: deadline_ms?,
                fence_token: self.fencing_token,
                checkpoint: launch.saved.as_deref(),
                ticket: launch.ticket.as_deref(),
            })
        };
        match self
            .send_order("start", "/api/run-start", timeout, body)
            .await
        {
            Ok((status, receipt)) => Some((decode_reply(status, &receipt), receipt.clock_ms)),
            Err(_) if is_denied.into_inner() => None,
            Err(fault) => {
                log::debug!(event = "start-failed", worker = self.id, fault:% = fault; "");
                let reply = if fault.had_no_effect() {
                    Reply::Unsent
                } else {
                    Reply::Unknown
                };
                Some((reply, None))
            }
        }
    }

    /// Stops a run. Returns whether the worker confirmed that the run has ended and will not start
    /// again.
    ///
    /// # Errors
    ///
    /// Fails if the worker does not respond. After [`Fault::Unknown`] it may still have carried out
    /// the request.
    pub async fn stop(&self, task: &TaskId, run: u64, timeout: Duration) -> Result<bool, Fault> {
        let body = json!({
            "task": task_name::encode(task),
            "run": run,
            "fenceToken": self.fencing_token,
        });
        let (status, _) = self
            .send_order("stop", "/api/run-stop", timeout, |_| encode(&body))
            .await?;
        Ok(status == 200)
    }

    /// Limits the speed of a run to `percent` of its full speed. Returns whether the worker
    /// confirmed it.
    ///
    /// # Errors
    ///
    /// Fails if the worker does not respond. After [`Fault::Unknown`] it may still have carried out
    /// the request.
    pub async fn limit_speed(
        &self,
        task: &TaskId,
        run: u64,
        percent: u64,
        timeout: Duration,
    ) -> Result<bool, Fault> {
        let body = json!({
            "task": task_name::encode(task),
            "run": run,
            "percent": percent,
            "fenceToken": self.fencing_token,
        });
        let (status, _) = self
            .send_order("pace", "/api/pace", timeout, |_| encode(&body))
            .await?;
        Ok(status == 200)
    }

    /// Lists running and ended runs, and renews and acknowledges what `renew` returns for a
    /// connection that was opened at a time. The worker delays its response by up to `wait` until a
    /// run ends, if the renewal allows it.
    ///
    /// # Errors
    ///
    /// [`Fault::Refused`] with status 409 means that the worker has seen a higher fencing token,
    /// with 421 that another worker process uses the address. [`Fault::Unsent`] if `renew` returns
    /// `None`.
    pub async fn poll(
        &self,
        wait: Duration,
        timeout: Duration,
        renew: impl Fn(Instant) -> Option<Renewal> + Sync,
    ) -> Result<Snapshot, Fault> {
        let step = "look";
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let body = |opened_at| {
            let renewal = renew(opened_at)?;
            encode(&Poll {
                deadline_ms: renewal.deadline_ms,
                fence_token: self.fencing_token,
                ack_position: renewal.position,
                wait_ms: (renewal.may_wait && wait_ms > 0).then_some(wait_ms),
            })
        };
        let response = self.post(step, "/api/hold", wait + timeout, body).await?;
        match response.status {
            200 => match serde_json::from_slice::<Report>(&response.body) {
                Ok(report) if report.is_possible() => Ok(report.into()),
                Ok(_) => Err(self.link.unknown(step, "a number is too large".into())),
                Err(error) => Err(self.link.unknown(step, error.to_string())),
            },
            status => Err(self.link.refused(step, status)),
        }
    }

    async fn send_order(
        &self,
        step: &'static str,
        path: &str,
        timeout: Duration,
        body: impl Fn(Instant) -> Option<Bytes> + Sync,
    ) -> Result<(u16, Receipt), Fault> {
        let response = self.post(step, path, timeout, body).await?;
        let receipt = serde_json::from_slice::<Receipt>(&response.body).unwrap_or_default();
        let clock_ms = receipt.clock_ms.filter(|clock| *clock <= MAX_NUMBER);
        let receipt = Receipt {
            clock_ms,
            ..receipt
        };
        Ok((response.status, receipt))
    }

    async fn post(
        &self,
        step: &'static str,
        path: &str,
        timeout: Duration,
        body: impl Fn(Instant) -> Option<Bytes> + Sync,
    ) -> Result<Response, Fault> {
        let headers = [(EXPECT_INSTANCE, self.id.to_string())];
        let call = Call {
            headers: &headers,
            ..Call::post(step, path, Bytes::new(), timeout)
        };
        self.link.exchange_after_connect(call, body).await
    }
}

fn encode(body: &impl Serialize) -> Option<Bytes> {
    let body = serde_json::to_vec(body).expect("request types serialise to JSON");
    Some(body.into())
}

/// Maps the response to a start request to its outcome.
fn decode_reply(status: u16, receipt: &Receipt) -> Reply {
    match (status, receipt.reason.as_str()) {
        (200, _) => Reply::Started,
        (409, "fence") => Reply::Fenced,
        (409, "old") => Reply::Stale,
        (409, "late") => Reply::Late,
        (409, "room") => Reply::Full,
        (409, "ticket") => Reply::Unadvised,
        (421, _) => Reply::Replaced,
        (429 | 503, _) => Reply::Unhealthy,
        (400..=499, _) => Reply::Rejected,
        _ => Reply::Unknown,
    }
}
