use serde_json::json;

use crate::instance::{Instance, request_until, start_instance, wait_for_metric, wait_until};
use crate::mode::Mode;
use crate::platform::{ONE, TWO, job, register, start_platform};
use crate::store::Store;
use crate::worker::Worker;

/// A leader and another instance, with a job of four tasks that run on two workers.
struct Scene {
    store: Store,
    leader: Instance,
    successor: Instance,
    workers: [Worker; 2],
}

impl Scene {
    /// Runs the tasks of the job [`ONE`], whose payload is `payload`, on both workers.
    async fn new(name: &str, payload: &str) -> Self {
        let (store, address, first) = start_platform().await;
        let second = Worker::new("i-2");
        register(&store, "i-2", second.start().await);
        let leader = start_instance(&format!("{name}-1"), address);
        request_until(leader.callers, "GET", "/q/", &json!({}), |s, _| s == 200).await;
        // Until a worker has answered the leader, all tasks are started on the other one.
        wait_for_metric(&leader, r#"workers_usable{service="s"} 2"#).await;
        request_until(leader.callers, "POST", ONE, &job(payload, 4), |s, _| {
            s == 200
        })
        .await;
        let workers = [first, second];
        wait_until("both workers have tasks", || {
            workers.iter().all(|worker| worker.running() == 2)
        })
        .await;
        let successor = start_instance(&format!("{name}-2"), address);
        request_until(successor.callers, "GET", ONE, &json!({}), |_, b| {
            b["state"] == "running"
        })
        .await;
        Self {
            store,
            leader,
            successor,
            workers,
        }
    }

    /// Makes the store unavailable and lets the registration of the second worker expire.
    fn lose_store_and_registration(&self) {
        self.store.set_mode(Mode::Unavailable);
        self.store.remove("servers", "i-2");
    }

    /// Kills the leader and makes the store available again.
    fn replace_leader(&mut self) {
        self.leader.child.kill().unwrap();
        self.store.set_mode(Mode::Normal);
    }

    /// Counts the starts of tasks of the job [`ONE`].
    fn starts(&self) -> usize {
        let starts = self.workers.iter().flat_map(Worker::starts);
        starts.filter(|(task, _)| ONE.contains(&task[..16])).count()
    }
}

/// Guards against a new leader that knows only the workers in the list of the store. The
/// registration of a worker expired while the store was away, and its tasks were started a second
/// time on another worker (rule TWICE).
#[tokio::test(flavor = "multi_thread")]
async fn starts_no_task_twice_whose_worker_is_not_listed() {
    let mut scene = Scene::new("unlisted-run", "lasting").await;
    scene.lose_store_and_registration();
    scene.replace_leader();
    let callers = scene.successor.callers;
    request_until(callers, "POST", TWO, &job("lasting", 1), |s, _| s == 200).await;
    request_until(callers, "GET", TWO, &json!({}), |_, b| {
        b["state"] == "running"
    })
    .await;
    assert_eq!(scene.starts(), 4, "each task was started once");
    assert_eq!(scene.workers[1].running(), 2);
}

/// Guards against the same fault for tasks that have ended on such a worker: the new leader did not
/// read the ends and ran the tasks again (rules TWICE and BUDGET).
#[tokio::test(flavor = "multi_thread")]
async fn reads_the_ends_on_a_worker_that_is_not_listed() {
    let mut scene = Scene::new("unlisted-end", "2500").await;
    scene.lose_store_and_registration();
    wait_until("the tasks have ended", || {
        scene.workers.iter().all(|worker| worker.running() == 0)
    })
    .await;
    scene.replace_leader();
    request_until(scene.successor.callers, "GET", ONE, &json!({}), |_, b| {
        b["state"] == "completed"
    })
    .await;
    assert_eq!(scene.starts(), 4, "each task was started once");
}
