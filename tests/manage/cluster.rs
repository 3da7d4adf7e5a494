//! Entry instances that maintain pools, and callers.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use coriandernotch::config::Outcome;
use coriandernotch::demo::{Bed, Client};
use coriandernotch::fleet::Digest;
use coriandernotch::node::{Applied, Node};
use coriandernotch::platform::Row;
use coriandernotch::pools::{Assignment, Phase};
use http_body_util::Full;
use hyper::Request;
use tokio::task::JoinSet;

use crate::log_lines::print_lines;

pub(super) const WAIT: Duration = Duration::from_secs(20);

/// Two services with a pool each, a plan for the first, and three spare instances.
pub(super) fn fleet_document() -> serde_json::Value {
    let digest = Digest::of(b"red-key");
    let names = |pool: &str, n: usize| -> Vec<_> {
        let data_centres = ["east", "mid", "west"].into_iter().take(n);
        data_centres.map(|name| format!("{pool}-{name}")).collect()
    };
    serde_json::json!({
        "name": "test",
        "longest-run-ms": 3000,
        "data-centres": [
            {"name": "east", "region": "r"}, {"name": "mid", "region": "r"},
            {"name": "west", "region": "r"},
        ],
        "workspaces": [{"name": "red", "share": 1, "limit": 40,
            "keys": [{"name": "first", "digest": digest}]}],
        "pools": [
            {"name": "one", "size": 3, "budget": {"unavailable": 1}, "instances": names("one", 3)},
            {"name": "two", "size": 3, "budget": {"unavailable": 1}, "instances": names("two", 3)},
            {"name": "rest", "size": 3, "spare": true, "budget": {"unavailable": 1},
             "instances": names("rest", 3)},
        ],
        "services": [{"name": "one", "pool": "one"}, {"name": "two", "pool": "two"}],
    })
}

/// Entry instances in one process, with the document that is in force and a flag to stop the
/// callers.
pub(super) struct Cluster {
    pub(super) bed: Arc<Bed>,
    pub(super) document: serde_json::Value,
    pub(super) stop: Arc<AtomicBool>,
}

impl Cluster {
    pub(super) async fn start(nodes: usize) -> Self {
        print_lines();
        let document = fleet_document();
        let bed = Arc::new(Bed::start(&document.to_string()).await.unwrap());
        for _ in 0..nodes {
            bed.start_node().await.unwrap();
        }
        let stop = Arc::default();
        let cluster = Self {
            bed,
            document,
            stop,
        };
        cluster.apply().await;
        cluster
            .wait("a ready cluster", |c| {
                let voters = |n: &Arc<Node>| {
                    n.shared()
                        .control
                        .read(|s| s.revision().map_or(0, |r| r.head.voters.len()))
                };
                c.bed.ready().len() == nodes
                    && c.bed.nodes().iter().all(|n| voters(n) == nodes)
                    && c.rows().len() == 9
            })
            .await;
        cluster
    }

    pub(super) async fn apply(&self) {
        for _ in 0..50 {
            let node = self.bed.nodes()[0].clone();
            let content = self.document.to_string();
            let applied = node.shared().apply(&content, None, "test").await;
            if let Applied::Committed(Outcome::Accepted(_)) = applied {
                return;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        panic!("the document was not accepted");
    }

    /// Puts a document with a plan for the first pool in force.
    pub(super) async fn add_plan(&mut self) {
        self.document["plans"] =
            serde_json::json!([{"name": "reboots", "pool": "one", "period-days": 21}]);
        self.apply().await;
    }

    /// Waits until an instance drains.
    pub(super) async fn wait_for_drain(&self) {
        self.wait("a drain", |c| {
            c.rows().iter().any(|(_, row)| row.phase == Phase::Draining)
        })
        .await;
    }

    /// Waits until a node has read that an instance takes no calls.
    pub(super) async fn wait_for_drain_at(&self, node: &Node) {
        let dispatcher = node.shared().control.dispatcher();
        self.wait("the drain at a node", |c| {
            let roster = dispatcher.roster();
            c.rows()
                .iter()
                .any(|(name, _)| roster.get(name).is_some_and(|known| !known.takes_calls()))
        })
        .await;
    }

    /// Waits until `done` returns true, and checks the budgets all the while.
    pub(super) async fn wait(&self, what: &str, mut done: impl FnMut(&Self) -> bool) {
        let happened = self.bed.wait(WAIT, |_| {
            self.check();
            done(self)
        });
        let happened = happened.await;
        assert!(
            happened,
            "{what} did not happen: {:?}, rosters {:?}",
            self.rows(),
            self.describe_rosters()
        );
    }

    /// Tells what each node knows of the instances that do not serve.
    fn describe_rosters(&self) -> Vec<String> {
        let describe = |node: &Arc<Node>| {
            let dispatcher = node.shared().control.dispatcher();
            let (roster, version) = (dispatcher.roster(), dispatcher.roster_version());
            let rows = self.rows().into_iter();
            let phases: Vec<String> = rows
                .filter(|(_, row)| row.phase != Phase::Serving)
                .map(|(name, _)| format!("{name} {:?}", roster.get(&name).map(|known| known.phase)))
                .collect();
            format!("{} version {version} {phases:?}", node.shared().member.name)
        };
        self.bed.nodes().iter().map(describe).collect()
    }

    pub(super) fn rows(&self) -> Vec<(String, Assignment)> {
        let rows = self.bed.store.rows(Assignment::PREFIX);
        let read = |row: &Row| {
            let name = row.key.strip_prefix(Assignment::PREFIX).unwrap();
            (name.to_owned(), serde_json::from_str(&row.value).unwrap())
        };
        rows.iter().map(read).collect()
    }

    /// Checks that every pool keeps its budget, by the rows and by the actual state of the targets.
    pub(super) fn check(&self) {
        let rows = self.rows();
        for pool in ["one", "two", "rest"] {
            let members: Vec<_> = rows.iter().filter(|(_, row)| &*row.pool == pool).collect();
            let out = members
                .iter()
                .filter(|(_, row)| !matches!(row.phase, Phase::Serving | Phase::Moving));
            let away = members
                .iter()
                .filter(|(name, _)| !self.bed.targets[&**name].is_on());
            let (out, away) = (out.count(), away.count());
            assert!(out <= 1 && away <= 1, "pool {pool} out {out} away {away}");
        }
    }

    pub(super) fn rebooted(&self) -> usize {
        self.bed.store.machines().rebooted().len()
    }

    /// Starts callers of both services through all nodes until `stop` is set. Each returns the
    /// number of its calls and the failed ones.
    pub(super) fn start_callers(&self) -> JoinSet<(usize, Vec<String>)> {
        let mut callers = JoinSet::new();
        for number in 0..8usize {
            let (bed, stop) = (self.bed.clone(), self.stop.clone());
            callers.spawn(async move {
                let (mut client, mut failures, mut calls) = (Client::default(), Vec::new(), 0);
                let service = ["one", "two"][number % 2];
                while !stop.load(Ordering::Acquire) {
                    let ready = bed.ready();
                    let Some(to) = ready.get(number / 2 % ready.len().max(1)) else {
                        tokio::time::sleep(Duration::from_millis(10)).await;
                        continue;
                    };
                    calls += 1;
                    let id = format!("{number}-{calls}");
                    let request = Request::builder()
                        .method("POST")
                        .uri(format!("/v1/services/{service}/x"))
                        .header("host", "test")
                        .header("authorization", "Bearer red-key")
                        .header("x-request-id", &id)
                        .header("coriandernotch-deadline-ms", "20000")
                        .body(Full::new(Bytes::from(id.clone())))
                        .unwrap();
                    match client.call(*to, request).await {
                        Ok(reply) if reply.status.is_success() && reply.body == id => {}
                        Ok(reply) if reply.outcome() == "not-run" => {}
                        Ok(reply) => failures.push(format!("{id} {}", reply.status)),
                        Err(error) => failures.push(format!("{id} {error:#}")),
                    }
                }
                (calls, failures)
            });
        }
        callers
    }

    /// Stops the callers and the nodes, and checks that no call failed or was interrupted.
    pub(super) async fn finish(self, mut callers: JoinSet<(usize, Vec<String>)>) {
        self.stop.store(true, Ordering::Release);
        while let Some(ended) = callers.join_next().await {
            let (calls, failures) = ended.unwrap();
            assert!(calls > 0);
            assert!(failures.is_empty(), "{failures:?}");
        }
        let interrupted: usize = self.bed.targets.values().map(|t| t.cut()).sum();
        assert_eq!(interrupted, 0, "a reboot interrupted requests");
        for node in self.bed.nodes() {
            self.bed.stop_node(&node).await;
        }
    }
}
