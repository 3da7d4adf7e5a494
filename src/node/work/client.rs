use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::{Method, StatusCode};
use serde_json::json;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};

use super::command::Command;
use super::connection::{Connection, Failure};
use super::event::Event;
use super::execution::{Execution, Phase};
use super::gate::Gate;
use super::report::{Report, Status};
use super::request::Request;
use super::resources::Resources;
use super::{LEASE_GRACE, MAX_LEASE};
use crate::clock;
use crate::collections::Map;
use crate::limit::Permit;

/// Time between two rounds of renewals and reports; allows several attempts within a lease.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);

/// Delay between two attempts to prepare a worker.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Time for which a start whose connection broke may still reach a worker that responds but does
/// not have the run. A running worker reads requests that its operating system has received within
/// milliseconds.
const LATE_START_TIMEOUT: Duration = Duration::from_secs(2);

/// Client of one worker; its task owns the connection.
pub(super) struct Client {
    pub(super) name: Arc<str>,
    pub(super) data_centre: Arc<str>,
    pub(super) gate: Arc<Gate>,
    pub(super) connection: Connection,
    pub(super) events: UnboundedSender<(Arc<str>, Event)>,
    pub(super) runs: Map<Arc<str>, Execution>,
}

impl Client {
    pub(super) fn new(
        name: &Arc<str>,
        data_centre: &Arc<str>,
        address: SocketAddr,
        gate: Arc<Gate>,
        events: UnboundedSender<(Arc<str>, Event)>,
    ) -> Self {
        Self {
            name: name.clone(),
            data_centre: data_centre.clone(),
            gate,
            connection: Connection::new(address),
            events,
            runs: Map::default(),
        }
    }

    /// Runs the client until the task of the queue drops its end of the channel.
    pub(super) async fn run(mut self, mut commands: UnboundedReceiver<Command>) {
        let size = loop {
            match self.prepare_worker().await {
                Some(size) => break size,
                None => tokio::time::sleep(RETRY_DELAY).await,
            }
        };
        self.emit(Event::Ready(size.into()));
        let mut rounds = tokio::time::interval(ROUND_INTERVAL);
        rounds.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.execute(command).await,
                    None => return,
                },
                _ = rounds.tick() => {
                    let reachable = self.round().await.is_ok();
                    self.emit(Event::Reachable(reachable));
                }
            }
        }
    }

    /// Reads the size of the worker and makes it reject earlier holders.
    async fn prepare_worker(&mut self) -> Option<Resources> {
        let (status, body) = self
            .connection
            .call(Method::GET, "/machine", String::new())
            .await
            .ok()?;
        let size = serde_json::from_slice(&body).ok()?;
        if status != StatusCode::OK {
            return None;
        }
        let fence = Request::fence(self.gate.queue.clone(), self.gate.token());
        let path = format!("/jobs/{}.fence", self.gate.queue);
        let (status, _) = self
            .connection
            .call(Method::POST, &path, fence.json())
            .await
            .ok()?;
        if status == StatusCode::CONFLICT {
            self.emit(Event::Superseded);
        }
        // Any other response would mean that the worker does not follow the protocol.
        (status == StatusCode::SERVICE_UNAVAILABLE).then_some(size)
    }

    async fn execute(&mut self, command: Command) {
        match command {
            Command::Start {
                run,
                workspace,
                permit,
                body,
            } => self.start(run, &workspace, permit, body).await,
            Command::Adopt(run) => {
                // No other instance can renew the run, since the worker rejects earlier holders.
                let phase = Phase::Confirmed(clock::now() + MAX_LEASE + LEASE_GRACE);
                self.track(run, None, phase);
            }
            Command::Permit { run, permit } => {
                if let Some(tracked) = self.runs.get_mut(&run) {
                    tracked.permit = Some(permit);
                    self.renew(&run).await.ok();
                }
            }
            Command::Stop(run) => {
                if let Some(tracked) = self.runs.get_mut(&run) {
                    tracked.stop_requested = true;
                    self.renew(&run).await.ok();
                }
            }
            // A lost request is repeated by a later decision of the scheduler.
            Command::Checkpoint(run) => {
                self.post(&run, "checkpoint", json!({})).await.ok();
            }
            Command::Throttle(run, percent) => {
                let percent = json!({ "percent": percent });
                self.post(&run, "throttle", percent).await.ok();
            }
        }
    }

    async fn start(&mut self, run: Arc<str>, workspace: &str, permit: Permit, mut body: Request) {
        let now = clock::now();
        let Some(lease) = self
            .gate
            .may_start(workspace, &self.data_centre, permit, now)
        else {
            return self.emit(Event::Refused(run));
        };
        (body.token, body.lease_ms) = (self.gate.token(), millis(lease));
        let path = format!("/jobs/{run}");
        let response = self.connection.call(Method::POST, &path, body.json()).await;
        match response.map(|(status, _)| status) {
            Ok(StatusCode::CREATED | StatusCode::OK) => {
                let phase = Phase::Confirmed(clock::now() + lease + LEASE_GRACE);
                self.track(run.clone(), Some(permit), phase);
                self.emit(Event::Started(run));
            }
            Ok(StatusCode::CONFLICT) => {
                self.emit(Event::Refused(run));
                self.emit(Event::Superseded);
            }
            Ok(StatusCode::SERVICE_UNAVAILABLE | StatusCode::BAD_REQUEST)
            | Err(Failure::Unsent) => {
                self.emit(Event::Refused(run));
            }
            Ok(_) | Err(Failure::Lost) => self.track(run, Some(permit), Phase::Unconfirmed(None)),
        }
    }

    fn track(&mut self, run: Arc<str>, permit: Option<Permit>, phase: Phase) {
        let tracked = Execution {
            permit,
            phase,
            stop_requested: false,
        };
        self.runs.insert(run, tracked);
    }

    /// Renews all runs and reads their reports.
    async fn round(&mut self) -> Result<(), Failure> {
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
    async fn renew(&mut self, run: &Arc<str>) -> Result<(), Failure> {
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

    async fn post(
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

    fn emit(&self, event: Event) {
        // The receiver is gone when the task of the queue ends first, as at shutdown.
        drop(self.events.send((self.name.clone(), event)));
    }
}

fn millis(lease: Duration) -> u64 {
    u64::try_from(lease.as_millis()).unwrap_or(u64::MAX)
}
