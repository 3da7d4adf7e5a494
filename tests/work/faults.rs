//! Runs while holders, the store and workers fail.

use std::time::Duration;

use coriandernotch::demo::Bed;
use coriandernotch::standin::worker::{Behaviour, Status};
use coriandernotch::standin::{Fault, Kind};

use super::bed::{
    TIMEOUT, assert_rules, find_holder, fleet_document, read_lease, run_statuses, start_bed,
    start_nodes, submit, submit_many, wait_for_states,
};

/// Guards against a job that runs twice, or never, when the holder of its queue crashes, or cannot
/// reach the store and still considers itself the holder.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lost_holder_is_replaced_and_its_runs_continue() {
    for (name, cut_peers) in [("crashed", true), ("cut off from the store only", false)] {
        let bed = start_bed(3).await;
        let ids = submit_many(&bed, "open", "blue", 5_000, 6).await;
        wait_for_states(&bed, &ids, &["running"]).await;
        let (old, token) = read_lease(&bed, "open");
        let node = find_holder(&bed, "open");
        bed.store.faults().cut(&node.shared().member.name, true);
        if cut_peers {
            node.shared().hub.stop();
        }
        let replaced = bed.wait(TIMEOUT, |bed| read_lease(bed, "open").1 > token);
        assert!(replaced.await, "{name}: no other instance took the queue");
        assert_ne!(read_lease(&bed, "open").0, old, "{name}");
        wait_for_states(&bed, &ids, &["succeeded"]).await;
        assert_rules(&bed);
        let continued = ids.iter().filter(|id| run_statuses(&bed, id).len() == 1);
        println!(
            "{name}: {} of {} runs continued",
            continued.count(),
            ids.len()
        );
        let order = coriandernotch::standin::worker::Order {
            shard: "open".into(),
            token,
            lease_ms: 1,
            need: Default::default(),
            real: Default::default(),
            run_ms: 1,
        };
        for worker in bed.workers.values() {
            let now = coriandernotch::clock::now();
            let refused = worker.machine().run("late", order.clone(), now);
            assert!(refused.is_err(), "{name}: an older token was accepted");
        }
    }
}

/// Guards against a job that runs again because a response of the store was lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_store_responses_repeat_no_run() {
    let bed = start_bed(2).await;
    let ids = submit_many(&bed, "open", "blue", 300, 10).await;
    for _ in 0..20 {
        let faults = [Fault::Lose, Fault::Pass, Fault::Refuse, Fault::Lose];
        bed.store.faults().inject(Kind::Write, faults);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    bed.store.faults().clear();
    wait_for_states(&bed, &ids, &["succeeded"]).await;
    for id in &ids {
        assert_eq!(run_statuses(&bed, id), [Status::Succeeded], "{id}");
    }
    assert_rules(&bed);
}

/// Guards against runs that stop because a store outage is longer than their leases.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn runs_continue_during_a_store_outage() {
    let bed = Bed::start(&fleet_document(6_000)).await.unwrap();
    let bed = start_nodes(bed, 3, 6_000).await;
    let ids = submit_many(&bed, "open", "blue", 5_500, 4).await;
    wait_for_states(&bed, &ids, &["running"]).await;
    bed.store.faults().set_outage(true);
    tokio::time::sleep(Duration::from_secs(5)).await;
    bed.store.faults().set_outage(false);
    wait_for_states(&bed, &ids, &["succeeded"]).await;
    for id in &ids {
        assert_eq!(run_statuses(&bed, id), [Status::Succeeded], "{id}");
    }
    assert_rules(&bed);
}

/// Guards against a job that starts again while its run may still go on, or is lost with its
/// worker.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_run_is_repeated_only_after_its_worker_was_unreachable_for_its_lease() {
    let mut bed = Bed::start(&fleet_document(4_000)).await.unwrap();
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let worker = bed.workers["batch-east"].clone();
    let server = tokio::spawn(worker.serve(listener));
    let mut instance = bed.instances.lock().unwrap()[0].clone();
    assert_eq!(&*instance.name, "batch-east");
    instance.address = address;
    bed.set_instance(instance);
    bed.remove_instance("batch-mid");
    bed.remove_instance("batch-west");
    bed.workers.retain(|name, _| &**name == "batch-east");
    let bed = start_nodes(bed, 1, 4_000).await;
    let id = submit(&bed, "open", "blue", 1_500).await;
    wait_for_states(&bed, std::slice::from_ref(&id), &["running"]).await;
    server.abort();
    wait_for_states(&bed, std::slice::from_ref(&id), &["queued"]).await;
    let listener = tokio::net::TcpListener::bind(address).await.unwrap();
    tokio::spawn(worker.serve(listener));
    wait_for_states(&bed, std::slice::from_ref(&id), &["succeeded"]).await;
    let mut ended = run_statuses(&bed, &id);
    ended.sort_by_key(|status| *status == Status::Succeeded);
    // If the worker becomes unreachable just as the run ends, the first run may have succeeded
    // without the holder learning of it.
    assert_eq!(ended.len(), 2, "{ended:?}");
    assert_eq!(ended[1], Status::Succeeded);
}

/// Guards against a worker that fails every job and so makes the jobs of a whole queue fail.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_worker_that_fails_everything_gets_no_more_work() {
    let bed = start_bed(1).await;
    let failing = bed.workers["batch-mid"].clone();
    failing.machine().set_behaviour(Behaviour::FailAll);
    let ids = submit_many(&bed, "open", "blue", 30, 24).await;
    wait_for_states(&bed, &ids, &["succeeded"]).await;
    let before = failing.machine().starts().len();
    assert!(
        before > 0,
        "the failing worker got no job, so the test shows nothing"
    );
    let ids = submit_many(&bed, "open", "blue", 30, 24).await;
    wait_for_states(&bed, &ids, &["succeeded"]).await;
    assert_eq!(failing.machine().starts().len(), before);
    assert_rules(&bed);
}

/// Guards against jobs of two queues that together exceed the limit of their workspace, and prints
/// the number of store writes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_workspace_limit_holds_over_all_queues() {
    let bed = start_bed(3).await;
    let before = (
        bed.store.counters().get(Kind::Write),
        bed.store.counters().rows(),
    );
    let open = submit_many(&bed, "open", "blue", 100, 100);
    let own = submit_many(&bed, "own", "blue", 100, 100);
    let red = submit_many(&bed, "open", "red", 100, 20);
    let (open, own, red) = tokio::join!(open, own, red);
    for ids in [open, own, red] {
        wait_for_states(&bed, &ids, &["succeeded"]).await;
    }
    let counters = bed.store.counters();
    println!(
        "220 jobs: {before:?} {:?} {:?}",
        counters.get(Kind::Write),
        counters.rows()
    );
    assert_rules(&bed);
}
