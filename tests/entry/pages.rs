use std::net::SocketAddr;
use std::time::Duration;

use coriandernotch::batch::{Progress, State};
use coriandernotch::job_store::Partition;
use coriandernotch::platform::api::{Outcome, Precondition, Store as Client, Transaction};
use serde_json::json;

use crate::hold::Hold;
use crate::instance::{Instance, send_request, start_instance};
use crate::moment::Moment;
use crate::page::Page;
use crate::platform::{id, start_platform, store_job, store_progress};
use crate::store::Store;
use crate::worker::Worker;

/// Number of ended jobs, which take several pages.
const ENDED_JOBS: usize = 1_200;

/// Number from which on the first ended job is sought. Jobs are read in the order of their numbers.
const FIRST_ENDED: u64 = 0x2000;

/// Partition of all jobs of these tests.
const PARTITION: Partition = Partition::Jobs(0);

/// Numbers from which on jobs in the first page and in the last one are sought that run from the
/// start.
const RUNNING: [u64; 2] = [0x1000, 0xf0_0000];

/// Numbers from which on jobs in the first page and in the last one are sought that are submitted
/// between both pages.
const SUBMITTED: [u64; 2] = [0x1400, 0xf0_0400];

/// Number from which on a job is sought of which only a progress row is stored.
const WITHOUT_JOB: u64 = 0x1800;

/// Read of the second page of the jobs.
const SECOND_PAGE: Hold = Hold {
    table: "jobs",
    part: "s000",
    page: Page::Later,
    moment: Moment::Before,
};

/// Read of the jobs of the other partition.
const OTHER_PARTITION: Hold = Hold {
    part: "s001",
    page: Page::First,
    ..SECOND_PAGE
};

/// Returns the path of the first job from a number on that is in [`PARTITION`]. Each digit occurs
/// twice, so the progress of all these jobs is in the same partition.
fn path(from: u64) -> String {
    let mut paths = (from..).map(|number| format!("/q/{number:08x}{number:08x}"));
    let is_here = |path: &String| Partition::of_job(id(path)) == PARTITION;
    paths.find(is_here).unwrap()
}

/// Returns the paths of the ended jobs.
fn ended_paths() -> impl Iterator<Item = String> {
    let paths = (FIRST_ENDED..).map(|number| format!("/q/{number:08x}{number:08x}"));
    let is_here = |path: &String| Partition::of_job(id(path)) == PARTITION;
    paths.filter(is_here).take(ENDED_JOBS)
}

/// Starts a store with a partition of many ended jobs and some that are not.
async fn start_with_many_jobs() -> (Store, SocketAddr, Worker) {
    let (store, address, worker) = start_platform().await;
    for path in ended_paths() {
        store_job(&store, &path, "10");
        let progress = Progress {
            state: State::Completed,
            ended_ms: 1,
            ..Progress::default()
        };
        store_progress(&store, &path, &progress);
    }
    for number in RUNNING {
        store_job(&store, &path(number), "lasting");
    }
    let progress = Progress {
        state: State::Running,
        ..Progress::default()
    };
    store_progress(&store, &path(WITHOUT_JOB), &progress);
    (store, address, worker)
}

/// Cancels the running jobs and submits others while a later page is held back, and waits until
/// both have taken effect.
async fn change_between_pages(store: &Store, instance: &Instance) {
    store.holds.wait_for_call(SECOND_PAGE).await;
    store.holds.wait_for_call(OTHER_PARTITION).await;
    for number in SUBMITTED {
        instance.submit(&path(number), "10").await;
    }
    for number in RUNNING {
        let path = path(number);
        let (status, _) = send_request(instance.callers, "DELETE", &path, &json!({})).await;
        assert_eq!(status, 200);
    }
    store.holds.release();
    for number in SUBMITTED {
        instance.wait_for_state(&path(number), "completed").await;
    }
    for number in RUNNING {
        instance.wait_for_state(&path(number), "cancelled").await;
    }
}

/// Counts the starts of the running and of the submitted jobs, and those of all other jobs.
fn count_starts(worker: &Worker) -> ([usize; 2], [usize; 2], usize) {
    let count = |number| worker.starts_of(id(&path(number)));
    let (running, submitted) = (RUNNING.map(count), SUBMITTED.map(count));
    let known: usize = running.iter().chain(&submitted).sum();
    (running, submitted, worker.starts().len() - known)
}

/// Guards against a load that misses or repeats what is written between its pages: jobs whose page
/// has been read, cancellations, late writes of the last leader, and a progress row without a job.
#[tokio::test(flavor = "multi_thread")]
async fn loads_jobs_and_cancellations_that_are_stored_between_two_pages() {
    let (store, address, worker) = start_with_many_jobs().await;
    store.holds.add(SECOND_PAGE);
    store.holds.add(OTHER_PARTITION);
    let instance = start_instance("load-pages", address);
    store.holds.wait_for_call(SECOND_PAGE).await;
    let late_write = Transaction {
        part: "j0".into(),
        expected: vec![Precondition {
            table: "terms",
            key: "owner".into(),
            version: 0,
        }],
        puts: vec![("progress", id(&path(RUNNING[1])).into(), b"{}".to_vec())],
        deletes: Vec::new(),
    };
    let client = Client::new(address);
    let outcome = client.transact(&late_write, Duration::from_secs(1)).await;
    assert!(matches!(outcome, Ok(Outcome::Conflict(_))), "{outcome:?}");
    change_between_pages(&store, &instance).await;
    let (running, submitted, others) = count_starts(&worker);
    // The first of the running jobs may start before the feed reports its cancellation.
    assert!(running[0] <= 1);
    assert_eq!((running[1], submitted, others), (0, [1, 1], 0));
}

/// Guards against the same faults when a leader reads all jobs again, because the store has
/// discarded its history.
#[tokio::test(flavor = "multi_thread")]
async fn reads_jobs_and_cancellations_again_that_are_stored_between_two_pages() {
    let (store, address, worker) = start_with_many_jobs().await;
    let instance = start_instance("reread-pages", address);
    for number in RUNNING {
        instance.wait_for_state(&path(number), "running").await;
    }
    store.holds.add(SECOND_PAGE);
    store.holds.add(OTHER_PARTITION);
    store.expire_feeds();
    change_between_pages(&store, &instance).await;
    assert_eq!(count_starts(&worker), ([1, 1], [1, 1], 0));
}
