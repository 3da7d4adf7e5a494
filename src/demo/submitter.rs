use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use serde_json::{Value, json};

use super::ticket::Ticket;
use super::{Bed, Client};
use crate::clock;
use crate::random::Random;

/// Longest wait between two submissions of one workspace to one queue.
const THINK_MS: u64 = 400;

/// Longest run time of a job at full speed.
const RUN_MS: u64 = 3_000;

/// One workspace's submissions to one queue.
#[derive(Clone)]
pub(super) struct Submitter {
    pub(super) seed: u64,
    pub(super) workspace: Arc<str>,
    pub(super) queue: Arc<str>,
    pub(super) stop: Arc<AtomicBool>,
}

impl Submitter {
    /// Submits until the run stops.
    pub(super) async fn run(self, bed: Arc<Bed>, tickets: Arc<Mutex<Vec<Ticket>>>) {
        let mut random = Random::new(self.seed);
        let mut client = Client::default();
        while !self.stop.load(Ordering::Acquire) {
            tokio::time::sleep(Duration::from_millis(1 + random.below(THINK_MS))).await;
            let ready = bed.ready();
            if ready.is_empty() {
                continue;
            }
            let to = ready[random.below(ready.len() as u64) as usize];
            let ticket = self.submit(&mut client, &mut random, to).await;
            tickets.lock().expect("tickets lock").push(ticket);
        }
    }

    async fn submit(&self, client: &mut Client, random: &mut Random, to: SocketAddr) -> Ticket {
        let urgent = random.below(5) == 0;
        let real = 500 + random.below(3_500);
        let body = json!({
            "kind": format!("kind-{}", random.below(3)),
            // Declared sizes are up to four times off.
            "size": {"processors": 250 + random.below(8_000), "memory": 1_024},
            "urgent": urgent,
            "checkpoints": random.below(2) == 0,
            "payload": {
                "run-ms": 50 + random.below(RUN_MS),
                "real": {"milli-cpus": real, "memory-mib": 700, "accelerators": 0},
            },
        });
        let path = format!("queues/{}/jobs", self.queue);
        let sent = clock::now();
        let reply = self.send(client, to, "POST", &path, &body).await;
        let id = reply.filter(|(status, _)| *status == 201);
        let id = id.and_then(|(_, job)| Some(job["id"].as_str()?.to_owned()));
        let mut ticket = Ticket {
            workspace: self.workspace.clone(),
            urgent,
            sent,
            accepted: id.map(|id| (id, clock::now())),
            cancelled: false,
        };
        if let Some((id, _)) = ticket.accepted.clone()
            && random.below(10) == 0
        {
            let path = format!("jobs/{id}");
            let reply = self.send(client, to, "DELETE", &path, &Value::Null).await;
            ticket.cancelled =
                reply.is_some_and(|(_, answer)| answer["result"] == "cancelled before it ran");
        }
        ticket
    }

    async fn send(
        &self,
        client: &mut Client,
        to: SocketAddr,
        method: &str,
        path: &str,
        body: &Value,
    ) -> Option<(u16, Value)> {
        let request = Request::builder()
            .method(method)
            .uri(format!("/v1/{path}"))
            .header("host", to.to_string())
            .header("authorization", format!("Bearer {}-key", self.workspace))
            .body(Full::new(Bytes::from(body.to_string())))
            .ok()?;
        let reply = client.call(to, request).await.ok()?;
        let body = serde_json::from_slice(&reply.body).unwrap_or(Value::Null);
        Some((reply.status.as_u16(), body))
    }
}
