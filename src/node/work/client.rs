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
use super::request::Request;
use super::resources::Resources;
use super::{LEASE_GRACE, MAX_LEASE, millis};
use crate::clock;
use crate::collections::Map;
use crate::limit::Permit;

/// Time between two rounds of renewals and reports; allows several attempts within a lease.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);

/// Delay between two attempts to prepare a worker.
const RETRY_DELAY: Duration = Duration::from_millis(200);

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

    pub(super) fn emit(&self, event: Event) {
        // The receiver is gone when the task of the queue ends first, as at shutdown.
        drop(self.events.send((self.name.clone(), event)));
    }
}
