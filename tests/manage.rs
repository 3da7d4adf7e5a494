//! End-to-end tests of pools, moves and maintenance, and of the roster that entry instances read.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use coriandernotch::config::Outcome;
use coriandernotch::demo::{Bed, Client};
use coriandernotch::fleet::Digest;
use coriandernotch::node::{Applied, Node};
use coriandernotch::plans::{Calendar, Input, Manager, Turn};
use coriandernotch::platform::{Condition, Row, Table, Write};
use coriandernotch::pools::{Assignment, Changelog, Phase, Roster, Tenure};
use coriandernotch::standin::{Kind, Store};
use http_body_util::Full;
use hyper::Request;
use tokio::task::JoinSet;

mod bed;

async fn run_turn(bed: &bed::Bed, manager: &mut Manager, tenure: &Tenure) -> Turn {
    let sights = bed.sights.clone();
    let view = Input {
        tenure,
        calendar: &Calendar::new(bed.now, bed::UNIX),
        document: &bed.document,
        listing: &bed.listing,
        sight: &|instance| sights.get(&*instance.name).copied(),
    };
    let table = bed.store.client("m");
    manager.reconcile(bed.now, &table, view).await.unwrap()
}

/// Reads the roster, checks that it agrees with the rows, and returns the number of reads.
async fn read_and_compare(store: &std::sync::Arc<Store>, roster: &mut Roster) -> u64 {
    let before = store.counters().get(Kind::Read).total;
    roster.read(&store.client("reader"), false).await.unwrap();
    let reads = store.counters().get(Kind::Read).total - before;
    for row in store.rows(Assignment::PREFIX) {
        let name = row.key.strip_prefix(Assignment::PREFIX).unwrap();
        let row: Assignment = serde_json::from_str(&row.value).unwrap();
        let known = roster.get(name).unwrap();
        assert_eq!((&known.pool, known.phase), (&row.pool, row.phase), "{name}");
    }
    reads
}

/// Guards against a reader that misses a change by one of two managers, and against one that reads
/// all rows after a few changes.
#[tokio::test]
async fn a_roster_follows_the_rows_of_two_managers() {
    let mut bed = bed::Bed::new(&[bed::pool("a", 8, 4, 0), bed::pool("spare", 4, 2, 0)]);
    let mut managers = [1, 2].map(|token| (Manager::default(), Tenure::new(token)));
    let mut roster = Roster::default();
    let mut most_reads = 0;
    // The second manager supersedes the first, which can write nothing from then on.
    for (step, m) in [0, 0, 0, 1, 0, 1, 1, 0, 1].into_iter().enumerate() {
        let (manager, tenure) = &mut managers[m];
        run_turn(&bed, manager, tenure).await;
        let reads = read_and_compare(&bed.store, &mut roster).await;
        let scanned = reads > 1;
        let version = bed.store.row(Changelog::KEY).map_or(0, |row| row.version);
        assert_eq!(roster.version(), version, "step {step}");
        // Only the first read and the first transactions of another manager require a scan.
        assert!(
            !scanned || step < 1 || m == 1,
            "step {step} took {reads} reads"
        );
        most_reads = most_reads.max(reads);
        bed.truth(&format!("a-{step}", step = step % 8)).live = step % 2 == 1;
    }
    assert_eq!(most_reads, 2, "a scan takes two reads");
    assert!(roster.version() > 5);
}

/// Guards against an older change that overwrites the result of a later scan.
#[tokio::test]
async fn a_roster_does_not_revert_to_older_rows() {
    let mut bed = bed::Bed::new(&[bed::pool("a", 8, 4, 0), bed::pool("spare", 4, 2, 0)]);
    let (mut manager, tenure) = (Manager::default(), Tenure::new(1));
    run_turn(&bed, &mut manager, &tenure).await;
    let mut roster = Roster::default();
    read_and_compare(&bed.store, &mut roster).await;
    for live in [false, true, false] {
        bed.truth("a-0").live = live;
        run_turn(&bed, &mut manager, &tenure).await;
    }
    roster.read(&bed.store.client("r"), true).await.unwrap();
    assert_eq!(roster.get("a-0").unwrap().phase, Phase::Down);
    assert_eq!(read_and_compare(&bed.store, &mut roster).await, 1);
    assert_eq!(roster.get("a-0").unwrap().phase, Phase::Down);
}

const WAIT: Duration = Duration::from_secs(20);

/// Two services with a pool each, a plan for the first, and three spare instances.
fn fleet_document() -> serde_json::Value {
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
struct Cluster {
    bed: Arc<Bed>,
    document: serde_json::Value,
    stop: Arc<AtomicBool>,
}

impl Cluster {
    async fn start(nodes: usize) -> Self {
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

    async fn apply(&self) {
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
    async fn add_plan(&mut self) {
        self.document["plans"] =
            serde_json::json!([{"name": "reboots", "pool": "one", "period-days": 21}]);
        self.apply().await;
    }

    /// Waits until `done` returns true, and checks the budgets all the while.
    async fn wait(&self, what: &str, mut done: impl FnMut(&Self) -> bool) {
        let happened = self.bed.wait(WAIT, |_| {
            self.check();
            done(self)
        });
        assert!(happened.await, "{what} did not happen: {:?}", self.rows());
    }

    fn rows(&self) -> Vec<(String, Assignment)> {
        let rows = self.bed.store.rows(Assignment::PREFIX);
        let read = |row: &Row| {
            let name = row.key.strip_prefix(Assignment::PREFIX).unwrap();
            (name.to_owned(), serde_json::from_str(&row.value).unwrap())
        };
        rows.iter().map(read).collect()
    }

    /// Checks that every pool keeps its budget, by the rows and by the actual state of the targets.
    fn check(&self) {
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

    fn rebooted(&self) -> usize {
        self.bed.store.machines().rebooted().len()
    }

    /// Starts callers of both services through all nodes until `stop` is set. Each returns the
    /// number of its calls and the failed ones.
    fn start_callers(&self) -> JoinSet<(usize, Vec<String>)> {
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
    async fn finish(self, mut callers: JoinSet<(usize, Vec<String>)>) {
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

/// Guards against a reboot or a move that interrupts a call, and against a target that receives
/// calls of a service whose pool it has left or not yet joined.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_move_and_reboots_interrupt_no_call() {
    let mut cluster = Cluster::start(2).await;
    cluster
        .bed
        .targets
        .values()
        .for_each(|t| t.set_service_time(Duration::from_millis(60)));
    let callers = cluster.start_callers();
    cluster.document["pools"][1]["size"] = 4.into();
    cluster.document["pools"][2]["size"] = 2.into();
    cluster.add_plan().await;
    cluster
        .wait("a reboot and a move", |c| {
            let moved = c.rows().iter().any(|(name, row)| {
                name.starts_with("rest") && &*row.pool == "two" && row.phase == Phase::Serving
            });
            let maintained = c.rows().iter().any(|(_, row)| row.maintained > 0);
            moved && maintained
        })
        .await;
    // The moved instance receives calls of its new pool.
    cluster
        .wait("a call on the moved instance", |c| {
            c.bed
                .targets
                .iter()
                .any(|(name, t)| name.starts_with("rest") && t.total() > 0)
        })
        .await;
    for (name, target) in &cluster.bed.targets {
        for run in target.runs() {
            let number: usize = run.id.split('-').next().unwrap().parse().unwrap();
            let service = if number.is_multiple_of(2) {
                "one"
            } else {
                "two"
            };
            let is_allowed =
                name.starts_with(service) || (name.starts_with("rest") && service == "two");
            assert!(is_allowed, "{name} ran {}", run.id);
        }
    }
    cluster.finish(callers).await;
}

/// Guards against a maintenance wave that is never completed after its manager was cut off, and
/// against two managers that together exceed the budget.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn another_instance_takes_over_during_a_wave() {
    let mut cluster = Cluster::start(3).await;
    let callers = cluster.start_callers();
    cluster.add_plan().await;
    cluster
        .wait("a drain", |c| {
            c.rows().iter().any(|(_, row)| row.phase == Phase::Draining)
        })
        .await;
    let holder = cluster.bed.store.row("managers/pools").unwrap();
    let nodes = cluster.bed.nodes();
    let manager = nodes.iter().find(|n| {
        let member = &n.shared().member;
        holder
            .value
            .contains(&format!("{}/{}", member.name, member.incarnation))
    });
    // Cut off from the store, it cannot renew the lease; its peers still receive the reports of its
    // calls.
    let name = manager.unwrap().shared().member.name.clone();
    cluster.bed.store.faults().cut(&name, true);
    cluster.wait("a reboot", |c| c.rebooted() > 0).await;
    cluster
        .wait("the end of a reboot", |c| {
            c.rows().iter().any(|(_, row)| row.maintained > 0)
        })
        .await;
    let tokens: Vec<u64> = cluster.rows().iter().map(|(_, row)| row.token).collect();
    assert!(tokens.iter().any(|token| *token > 1), "{tokens:?}");
    cluster.bed.store.faults().cut(&name, false);
    cluster.finish(callers).await;
}

/// Guards against a reboot that is ordered from stale rows, and against a wave that does not resume
/// after an outage.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_wave_resumes_after_an_outage_of_the_store() {
    let mut cluster = Cluster::start(2).await;
    let callers = cluster.start_callers();
    cluster.add_plan().await;
    cluster
        .wait("a drain", |c| {
            c.rows().iter().any(|(_, row)| row.phase == Phase::Draining)
        })
        .await;
    cluster.bed.store.faults().set_outage(true);
    let before = cluster.rebooted();
    tokio::time::sleep(Duration::from_millis(1500)).await;
    assert_eq!(
        cluster.rebooted(),
        before,
        "no reboot may be ordered without the rows"
    );
    cluster.check();
    cluster.bed.store.faults().set_outage(false);
    cluster
        .wait("a reboot", |c| {
            c.rows().iter().any(|(_, row)| row.maintained > 0)
        })
        .await;
    cluster.finish(callers).await;
}

/// Guards against plans that can be commanded or read only at the managing instance, and against a
/// wave that starts after a pause was accepted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn operators_see_and_pause_plans_at_any_instance() {
    let mut cluster = Cluster::start(2).await;
    cluster.add_plan().await;
    let nodes = cluster.bed.nodes();
    let ask = async |node: &Arc<Node>, method: &str, path: &str| {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "test")
            .header("authorization", "Bearer administer-key")
            .body(Full::new(Bytes::new()))
            .unwrap();
        let to = node.shared().member.operators;
        let reply = Client::default().call(to, request).await.unwrap();
        let body = serde_json::from_slice(&reply.body).unwrap_or(serde_json::Value::Null);
        (reply.status.as_u16(), body)
    };
    let cases = [
        ("POST", "/v1/plans/reboots/pause", 200),
        ("POST", "/v1/plans/reboots/stop", 404),
        ("POST", "/v1/plans/other/pause", 404),
        ("POST", "/v1/plans/reboots/resume", 200),
        ("POST", "/v1/plans/reboots/pause", 200),
    ];
    for (number, (method, path, status)) in cases.into_iter().enumerate() {
        let answer = ask(&nodes[number % 2], method, path).await;
        assert_eq!(answer.0, status, "{path} {}", answer.1);
    }
    // A drain that began before the pause is cancelled; a reboot may still complete.
    cluster
        .wait("the end of all drains", |c| {
            c.rows().iter().all(|(_, row)| row.phase == Phase::Serving)
        })
        .await;
    let before = cluster.rebooted();
    let end = tokio::time::Instant::now() + WAIT;
    for node in &nodes {
        loop {
            let (status, body) = ask(node, "GET", "/v1/plans").await;
            if status == 200 && body["plans"][0]["wait"] == "paused" {
                assert_eq!(body["plans"][0]["total"], 3);
                assert_eq!(body["plans"][0]["author"], "demo");
                break;
            }
            assert!(tokio::time::Instant::now() < end, "{status} {body}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    assert_eq!(cluster.rebooted(), before);
    let answer = ask(&nodes[0], "POST", "/v1/plans/reboots/withdraw").await;
    assert_eq!(answer.0, 200);
    let answer = ask(&nodes[1], "POST", "/v1/plans/reboots/resume").await;
    assert_eq!(answer.0, 409, "{}", answer.1);
}

/// Guards against two managers that each believe that they hold the lease and together drain more
/// than the budget allows.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_competing_managers_keep_the_budget() {
    let mut cluster = Cluster::start(2).await;
    let callers = cluster.start_callers();
    cluster.add_plan().await;
    // The holder reads the lease only at intervals, and continues until then.
    let table = cluster.bed.store.client("rival");
    let lease = |holder: &str| {
        let value = format!(r#"{{"holder": "{holder}", "token": 2}}"#);
        vec![Write::put("managers/pools", Condition::Any, &value)]
    };
    table.transact(lease("rival")).await.unwrap();
    let (mut manager, tenure) = (Manager::default(), Tenure::new(2));
    let snapshot = cluster.bed.nodes()[0].shared().control.current().unwrap();
    let listing = cluster.bed.instances.lock().unwrap().clone();
    let now = coriandernotch::clock::now();
    let mut complete = 0;
    for _ in 0..60 {
        let view = Input {
            tenure: &tenure,
            calendar: &Calendar::new(now, bed::UNIX),
            document: snapshot.document().unwrap(),
            listing: &listing,
            // The rival cannot observe any instance, so it orders no more than drains.
            sight: &|_| None,
        };
        let result = manager
            .reconcile(coriandernotch::clock::now(), &table, view)
            .await;
        complete += u32::from(result == Ok(Turn::Complete));
        cluster.check();
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert!(complete > 0, "the rival completed no turn");
    table.transact(lease("")).await.unwrap();
    cluster
        .wait("a reboot under the next manager", |c| {
            c.rows()
                .iter()
                .any(|(_, row)| row.maintained > 0 && row.token > 2)
        })
        .await;
    cluster.finish(callers).await;
}
