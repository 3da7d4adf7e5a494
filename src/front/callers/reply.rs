use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use metrics::counter;

use super::body::Body;
use super::request::{Fault, OUTCOME};
use crate::admit::Refusal;
use crate::call::Outcome;

/// Answer made by us in place of a target's.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reply {
    status: StatusCode,
    outcome: Outcome,
    reason: &'static str,
    retry_after: Option<u64>,
}

impl Reply {
    pub(super) fn not_run(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            outcome: Outcome::NotRun,
            reason,
            retry_after: None,
        }
    }

    pub(super) fn unknown(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            outcome: Outcome::Unknown,
            reason,
            retry_after: None,
        }
    }

    /// Returns the reason when the call was truly not run.
    pub(super) fn refusal(&self) -> Option<&'static str> {
        (self.outcome == Outcome::NotRun).then_some(self.reason)
    }

    pub(super) fn into_response(self) -> Response<Body> {
        counter!("calls_refused_total", "reason" => self.reason, "outcome" => <&str>::from(self.outcome))
            .increment(1);
        let mut response = Response::new(Body::text(format!("{}\n", self.reason)));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(
            CONTENT_TYPE,
            HeaderValue::from_static("text/plain; charset=utf-8"),
        );
        headers.insert(OUTCOME, HeaderValue::from_static(self.outcome.into()));
        if let Some(seconds) = self.retry_after {
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}

impl From<Refusal> for Reply {
    fn from(refusal: Refusal) -> Self {
        let status = StatusCode::from_u16(refusal.status());
        let status = status.unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
        let retry_after =
            (status != StatusCode::UNAUTHORIZED).then(|| refusal.retry_after().as_secs().max(1));
        Self {
            status,
            outcome: Outcome::NotRun,
            reason: refusal.into(),
            retry_after,
        }
    }
}

impl From<Fault> for Reply {
    fn from((status, reason): Fault) -> Self {
        Self::not_run(status, reason)
    }
}
