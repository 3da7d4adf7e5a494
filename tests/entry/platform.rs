use std::net::SocketAddr;

use coriandernotch::batch::{Progress, Record, Spec, Step};
use coriandernotch::job_store::Partition;
use coriandernotch::jobs::Size;
use serde::Serialize;
use serde_json::{Value, json};

use crate::store::Store;
use crate::worker::Worker;

/// Path of the first job of a test.
pub(crate) const ONE: &str = "/q/00000000000000a1";
/// Path of the second job of a test.
pub(crate) const TWO: &str = "/q/00000000000000a2";
/// Path of the third job of a test, whose progress is stored in the same partition as that of [`ONE`].
pub(crate) const THREE: &str = "/q/00000000000000a3";

/// Returns the id in the path of a job.
pub(crate) fn id(path: &str) -> &str {
    path.rsplit('/').next().unwrap()
}

/// Builds a job of one step with a declared run time of 100 ms. The payload is the run time of its
/// tasks in milliseconds, or a word for tasks that do not end by themselves.
pub(crate) fn job(spec: &str, tasks: u64) -> Value {
    job_with_estimate(spec, tasks, 100)
}

/// Builds a job like [`job`] with another declared run time.
pub(crate) fn job_with_estimate(spec: &str, tasks: u64, estimate_ms: u64) -> Value {
    let step = json!({"count": tasks, "cpu": 500, "memMb": 10, "estimateMs": estimate_ms});
    json!({"spec": spec, "steps": [step]})
}

/// Starts a store with one queue and one worker.
pub(crate) async fn start_platform() -> (Store, SocketAddr, Worker) {
    let store = Store::default();
    let address = store.start().await;
    let worker = Worker::new("i-1");
    let worker_address = worker.start().await;
    store.write(
        "op",
        "config",
        &json!({
            "version": 3,
            "routes": [{"name": "q", "host": "h.example", "prefix": "/q/", "service": "s",
                "maxAttempts": 3, "stretch": 1.6, "targetDurationMs": 600}],
            "services": [{"name": "s"}],
            "tenants": [{"name": "w", "apiKeys": ["key-1"], "weight": 1}],
        }),
    );
    register(&store, "i-1", worker_address);
    // A row of another writer that describes no worker.
    store.write_raw("servers", "i-2", &[0xff, 0xfe]);
    (store, address, worker)
}

/// Registers a worker in the store.
pub(crate) fn register(store: &Store, id: &str, address: SocketAddr) {
    store.write(
        "servers",
        id,
        &json!({"service": "s", "address": address.to_string(), "zone": "a",
            "state": "ready", "machine": format!("m-{id}"), "born": 7, "labels": ["k", "rack-1"],
            "capacity": {"cpu": 4000, "memMb": 4000, "gpu": 0}}),
    );
}

/// Writes the row of a job of one task into the partition of the job, as an instance stores it.
pub(crate) fn store_job(store: &Store, path: &str, payload: &str) {
    store_job_in(store, Partition::of_job(id(path)), path, payload);
}

/// Writes the row of a job of one task into a partition.
pub(crate) fn store_job_in(store: &Store, partition: Partition, path: &str, payload: &str) {
    let step = Step {
        count: 1,
        size: Size::new(10, 10, 0),
        estimate_ms: 100,
        ..Step::default()
    };
    let spec = Spec {
        payload: payload.into(),
        steps: vec![step],
        ..Spec::default()
    };
    let record = Record {
        route: "q".into(),
        service: "s".into(),
        workspace: "w".into(),
        arrived_ms: 0,
        spec,
        ..Record::default()
    };
    store_row(store, partition, "jobs", path, &record);
}

/// Writes a row of a job into a partition.
pub(crate) fn store_row(
    store: &Store,
    partition: Partition,
    table: &str,
    path: &str,
    row: &impl Serialize,
) {
    let content = serde_json::to_vec(row).unwrap();
    store.write_in_partition(table, &partition.name(), id(path), &content);
}

/// Writes the progress of a job.
pub(crate) fn store_progress(store: &Store, path: &str, progress: &Progress) {
    store_row(
        store,
        Partition::of_progress(id(path)),
        "progress",
        path,
        progress,
    );
}

/// Returns the name of the partition of a job.
pub(crate) fn part_of(path: &str) -> &'static str {
    Partition::of_job(id(path)).name().leak()
}
