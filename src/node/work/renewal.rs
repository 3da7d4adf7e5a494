use std::sync::Arc;
use std::time::Duration;

use hyper::{Method, StatusCode};
use serde_json::json;

use super::client::Client;
use super::connection::Failure;
use super::event::Event;
use super::execution::{Execution, Phase};
use super::report::{Report, Status};
use super::{LEASE_GRACE, MAX_LEASE, millis};
use crate::clock;

/// Time for which a start whose connection broke may still reach a worker that responds but does
/// not have the run. A running worker reads requests that its operating system has received within
/// milliseconds.
const LATE_START_TIMEOUT: Duration = Duration::from_secs(2);

/// Renewals and reports of the runs on one worker.
impl Client {
    /// Renews all runs and reads their reports.
    pub(super) async fn round(&mut self) -> Result<(), Failure> {
        let runs: Vec<Arc<str>> = self.runs.keys().cloned().collect();
        let mut result = Ok(());
        for run in runs {
            // A worker that does not respond would cost a timeout for each run.
            if result.is_ok() {
                result = self.renew(&run).await;
            }
        }
        if result.is_ok() {
            result = self.read_reports().await;
        }
        // Checked last, so that a run whose end was just reported does not count as lapsed and the
        // job does not run again.
        let runs: Vec<Arc<str>> = self.runs.keys().cloned().collect();
        runs.iter().for_each(|run| self.check_lapse(run));
        result
    }

    async fn read_reports(&mut self) -> Result<(), Failure> {
        let (status, body) = self
            .connection
            .call(Method::GET, "/jobs", String::new())
            .await?;
        let reports: Vec<Report> = match serde_json::from_slice(&body) {
            Ok(reports) if status == StatusCode::OK => reports,
            _ => return Err(Failure::Lost),
        };
        for report in reports {
            if report.shard != self.gate.queue || !self.runs.contains_key(&report.id) {
                continue;
            }
            if report.status != Status::Running {
                self.runs.remove(&report.id);
            }
            self.emit(Event::Report(report));
        }
        Ok(())
    }

    /// Renews or stops one run.
    pub(super) async fn renew(&mut self, run: &Arc<str>) -> Result<(), Failure> {
        let Some(tracked) = self.runs.get(run) else {
            return Ok(());
        };
        let now = clock::now();
        let renewal = |permit| self.gate.may_renew(permit, now);
        let lease = tracked.permit.and_then(renewal);
        let (action, body) = match (tracked.stop_requested, lease) {
            (true, _) => ("stop", json!({})),
            (false, Some(lease)) => ("renew", json!({"lease-ms": millis(lease)})),
            (false, None) => return Ok(()),
        };
        let status = self.post(run, action, body).await?;
        let now = clock::now();
        let Some(tracked) = self.runs.get_mut(run) else {
            return Ok(());
        };
        match status {
            StatusCode::NO_CONTENT => {
                let unconfirmed = matches!(tracked.phase, Phase::Unconfirmed(_));
                let until = now + lease.unwrap_or(MAX_LEASE) + LEASE_GRACE;
                tracked.phase = Phase::Confirmed(until);
                if unconfirmed {
                    self.emit(Event::Started(run.clone()));
                }
            }
            StatusCode::NOT_FOUND => match &mut tracked.phase {
                Phase::Unconfirmed(denied)
                    if denied.is_none_or(|d| now.since(d) < LATE_START_TIMEOUT) =>
                {
                    denied.get_or_insert(now);
                }
                _ => self.remove(run),
            },
            StatusCode::CONFLICT => self.emit(Event::Superseded),
            _ => {}
        }
        Ok(())
    }

    pub(super) async fn post(
        &mut self,
        run: &str,
        action: &str,
        mut body: serde_json::Value,
    ) -> Result<StatusCode, Failure> {
        body["token"] = self.gate.token().into();
        let path = format!("/jobs/{run}/{action}");
        let response = self
            .connection
            .call(Method::POST, &path, body.to_string())
            .await;
        response.map(|(status, _)| status)
    }

    fn check_lapse(&mut self, run: &Arc<str>) {
        let lapsed =
            |entry: &Execution| matches!(entry.phase, Phase::Confirmed(end) if clock::now() > end);
        if self.runs.get(run).is_some_and(lapsed) {
            self.remove(run);
        }
    }

    fn remove(&mut self, run: &Arc<str>) {
        self.runs.remove(run);
        self.emit(Event::Gone(run.clone()));
    }
}
