//! Entries of another writer in the list of workers.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::instance::{Instance, TIMEOUT, request_until, start_with_files};
use crate::odd_entry::{
    Entry, STORED_BYTES, address_entries, full_row, harmless_entries, nested_entries,
    number_entries, odd_keys, other_entries, refused_entries, with,
};
use crate::platform::{job, register, start_platform};
use crate::store::Store;
use crate::worker::Worker;

/// A platform with an odd list of workers, and what an instance wrote to its outputs.
struct Scene {
    store: Store,
    worker: Worker,
    worker_address: SocketAddr,
    instance: Instance,
    outputs: [PathBuf; 2],
    jobs: usize,
}

impl Scene {
    /// Starts an instance while the store already holds `entries`.
    async fn start(name: &str, entries: &[Entry]) -> Self {
        let (store, address, worker) = start_platform().await;
        let registered = store.read("servers", "i-1").unwrap();
        let worker_address = registered["address"].as_str().unwrap().parse().unwrap();
        for (key, content) in keyed(entries) {
            store.write_raw("servers", &key, &content);
        }
        for key in odd_keys() {
            store.write_raw("servers", key, &with("zone", r#""a""#));
        }
        let (instance, outputs) = start_with_files(name, address);
        Self {
            store,
            worker,
            worker_address,
            instance,
            outputs,
            jobs: 0,
        }
    }

    /// Submits a job of two tasks and a gang in one rack, and waits until it is completed.
    async fn run_job(&mut self, context: &str) {
        self.jobs += 1;
        let path = format!("/q/{:016x}", self.jobs);
        let step = json!({"count": 2, "cpu": 500, "memMb": 10, "estimateMs": 50});
        let gang = json!({"count": 2, "cpu": 500, "memMb": 10, "estimateMs": 50, "gang": true,
            "sameRack": true, "after": [0]});
        let job = json!({"spec": "20", "steps": [step, gang]});
        let callers = self.instance.callers;
        request_until(callers, "POST", &path, &job, |status, _| status == 200).await;
        let (empty, is_completed) = (json!({}), |_, body: &Value| body["state"] == "completed");
        let completed = request_until(callers, "GET", &path, &empty, is_completed);
        let completed = tokio::time::timeout(TIMEOUT / 2, completed).await;
        assert!(completed.is_ok(), "{context}: {}", self.errors());
        assert_eq!(self.worker.starts().len(), self.jobs * 4, "{context}");
    }

    /// Returns the beginning of what the instance wrote to standard error.
    fn errors(&self) -> String {
        let text = std::fs::read_to_string(&self.outputs[1]).unwrap();
        text.lines().take(3).collect()
    }

    /// Checks that the process that was started still runs and has not panicked.
    fn assert_undisturbed(&mut self) {
        assert_eq!(self.instance.child.try_wait().unwrap(), None);
        assert_eq!(self.errors(), "");
    }

    /// Waits until the instance has read what the store holds.
    async fn wait_for_feed(&self) {
        tokio::time::sleep(Duration::from_millis(400)).await;
    }
}

fn keyed(entries: &[Entry]) -> impl Iterator<Item = (String, Vec<u8>)> {
    let numbered = entries.iter().enumerate();
    numbered.map(|(number, (_, content))| (format!("odd-{number}"), content.clone()))
}

fn all_entries() -> Vec<Entry> {
    let refused = refused_entries(STORED_BYTES).into_iter();
    refused.chain(harmless_entries(STORED_BYTES)).collect()
}

/// Guards against an instance that ends, or that starts nothing, because of a deeply nested entry.
#[tokio::test(flavor = "multi_thread")]
async fn leads_despite_deeply_nested_entries() {
    lead_with("odd-nested", &nested_entries(STORED_BYTES)).await;
}

/// Guards against an instance that ends, or that starts nothing, because of a number out of range.
#[tokio::test(flavor = "multi_thread")]
async fn leads_despite_numbers_out_of_range() {
    lead_with("odd-numbers", &number_entries()).await;
}

/// Guards against an instance that ends, or that starts nothing, because of a port out of range.
#[tokio::test(flavor = "multi_thread")]
async fn leads_despite_ports_out_of_range() {
    lead_with("odd-ports", &address_entries()).await;
}

/// Guards against a leader that cannot renew its leadership: the store took no row with the names of
/// a worker that filled its own row.
#[tokio::test(flavor = "multi_thread")]
async fn leads_despite_an_entry_that_fills_its_row() {
    let entry = ("full row".to_owned(), full_row());
    lead_with("odd-full-row", &[entry]).await;
}

/// Guards against other content that disturbs an instance, and against fields that it does not read.
#[tokio::test(flavor = "multi_thread")]
async fn leads_despite_other_odd_entries() {
    lead_with("odd-others", &other_entries(STORED_BYTES)).await;
    lead_with("odd-harmless", &harmless_entries(STORED_BYTES)).await;
}

/// Runs a job on an instance that finds `entries` in the store when it starts, and another one after
/// they were written again.
async fn lead_with(name: &str, entries: &[Entry]) -> Scene {
    let mut scene = Scene::start(name, entries).await;
    scene.run_job("before the start").await;
    for (key, content) in keyed(entries) {
        scene.store.write_raw("servers", &key, &content);
    }
    scene.wait_for_feed().await;
    scene.run_job("while it leads").await;
    scene.assert_undisturbed();
    scene
}

/// Guards against an invalid entry that leaves no trace, and against a line for each time that it is
/// read.
#[tokio::test(flavor = "multi_thread")]
async fn logs_an_invalid_entry_once() {
    let scene = lead_with("odd-logged", &address_entries()[..3]).await;
    let log = std::fs::read_to_string(&scene.outputs[0]).unwrap();
    let lines = log
        .lines()
        .filter(|line| line.contains("registration-invalid"));
    let lines: Vec<&str> = lines.collect();
    for key in ["odd-0", "odd-1", "odd-2"] {
        let of_key = lines
            .iter()
            .filter(|line| line.contains(&format!("worker={key} ")));
        assert_eq!(of_key.count(), 1, "{key}: {lines:#?}");
    }
    let expected = r#"worker=odd-0 reason="no address and port""#;
    assert!(log.contains(expected), "{lines:#?}");
}

/// Guards against a leader that ends, or that stops following the list of workers, when an odd
/// entry arrives.
#[tokio::test(flavor = "multi_thread")]
async fn leads_on_while_odd_entries_arrive() {
    let mut scene = Scene::start("odd-feed", &[]).await;
    scene.run_job("no entry").await;
    let entries = all_entries();
    for (number, chunk) in entries.chunks(8).enumerate() {
        for (position, (_, content)) in chunk.iter().enumerate() {
            scene
                .store
                .write_raw("servers", &format!("odd-{number}-{position}"), content);
        }
        scene.wait_for_feed().await;
        let names: Vec<&String> = chunk.iter().map(|(name, _)| name).collect();
        scene.run_job(&format!("{names:?}")).await;
    }
    scene.assert_undisturbed();
}

/// Guards against an odd entry under the key of a good worker: the worker must be used again once it
/// has written its entry anew.
#[tokio::test(flavor = "multi_thread")]
async fn uses_a_worker_again_after_an_odd_entry_under_its_key() {
    let mut scene = Scene::start("odd-replaced", &[]).await;
    scene.run_job("no entry").await;
    for chunk in refused_entries(STORED_BYTES).chunks(10) {
        for (_, content) in chunk {
            scene.store.write_raw("servers", "i-1", content);
            tokio::time::sleep(Duration::from_millis(30)).await;
        }
        register(&scene.store, "i-1", scene.worker_address);
        let names: Vec<&String> = chunk.iter().map(|(name, _)| name).collect();
        scene.run_job(&format!("{names:?}")).await;
    }
    scene.assert_undisturbed();
}

/// Guards against rows of a partition that have the keys of workers, of the configuration and of the
/// leader. Only rows outside of any partition are these.
#[tokio::test(flavor = "multi_thread")]
async fn ignores_rows_of_other_partitions() {
    let mut scene = Scene::start("odd-partition", &[]).await;
    scene.run_job("no row").await;
    let (successor, outputs) = start_with_files("odd-partition-2", scene.instance.store);
    let no_routes = br#"{"version": 9}"#;
    for (table, key, content) in [("servers", "i-1", &b"7"[..]), ("op", "config", no_routes)] {
        scene.store.write_in_partition(table, "other", key, content);
        scene.wait_for_feed().await;
        scene.run_job(table).await;
    }
    scene.assert_undisturbed();
    scene.instance.child.kill().unwrap();
    let other_leader = br#"{"holder": "nobody", "token": 900, "renewal": 1}"#;
    let store = &scene.store;
    store.write_in_partition("leaders", "other", "owner", other_leader);
    (scene.instance, scene.outputs) = (successor, outputs);
    scene.run_job("at the successor").await;
    scene.assert_undisturbed();
}

/// Guards against a capacity that is too large in the entry of a worker that answers: sums over the
/// workers of a service overflowed.
#[tokio::test(flavor = "multi_thread")]
async fn leads_on_after_an_impossible_capacity_of_a_good_worker() {
    let mut scene = Scene::start("odd-capacity", &[]).await;
    let second = Worker::new("i-2");
    register(&scene.store, "i-2", second.start().await);
    scene.wait_for_feed().await;
    let entry = json!({"service": "s", "address": scene.worker_address.to_string(), "zone": "a",
        "state": "ready", "machine": "m-i-1", "born": 7, "labels": ["k", "rack-1"],
        "capacity": {"cpu": u64::MAX, "memMb": u64::MAX, "gpu": u64::MAX}});
    scene.store.write("servers", "i-1", &entry);
    scene.wait_for_feed().await;
    let callers = scene.instance.callers;
    for number in 1..4 {
        let path = format!("/q/00000000000000b{number}");
        request_until(callers, "POST", &path, &job("20", 2), |s, _| s == 200).await;
        let is_completed = |_, body: &Value| body["state"] == "completed";
        request_until(callers, "GET", &path, &json!({}), is_completed).await;
        scene.wait_for_feed().await;
    }
    assert_eq!(scene.worker.starts().len() + second.starts().len(), 6);
    scene.assert_undisturbed();
}

/// Guards against odd entries that keep a follower from becoming the leader, that make it start tasks
/// again which run on a good worker, or for whose answer it waits before it starts others.
#[tokio::test(flavor = "multi_thread")]
async fn takes_over_while_odd_entries_arrive() {
    let mut scene = Scene::start("odd-takeover-1", &all_entries()).await;
    let path = "/q/00000000000000c1";
    let callers = scene.instance.callers;
    request_until(callers, "POST", path, &job("6000", 3), |s, _| s == 200).await;
    let begun = Instant::now();
    while scene.worker.running() < 3 {
        assert!(
            begun.elapsed() < TIMEOUT,
            "the tasks run: {}",
            scene.errors()
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let store_address = scene.instance.store;
    let (successor, outputs) = start_with_files("odd-takeover-2", store_address);
    request_until(successor.callers, "GET", path, &json!({}), |_, b| {
        b["state"] == "running"
    })
    .await;
    scene.assert_undisturbed();
    scene.instance.child.kill().unwrap();
    // A job that the new leader finds when it loads.
    let (second, empty) = ("/q/00000000000000c2", json!({}));
    request_until(successor.callers, "POST", second, &job("20", 1), |s, _| {
        s == 200
    })
    .await;
    for (number, (_, content)) in all_entries().iter().enumerate() {
        scene
            .store
            .write_raw("servers", &format!("late-{number}"), content);
        tokio::time::sleep(Duration::from_millis(15)).await;
    }
    let is_completed = |_, body: &Value| body["state"] == "completed";
    let completed = request_until(successor.callers, "GET", second, &empty, is_completed);
    let completed = tokio::time::timeout(TIMEOUT / 2, completed).await;
    assert!(completed.is_ok(), "the new leader waits for an odd entry");
    request_until(successor.callers, "GET", path, &empty, is_completed).await;
    assert_eq!(scene.worker.starts().len(), 4, "each task was started once");
    (scene.instance, scene.outputs) = (successor, outputs);
    scene.assert_undisturbed();
}
