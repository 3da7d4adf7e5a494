//! Changes, outages, limits and stops over several instances.

use std::sync::Arc;
use std::time::Duration;

use coriandernotch::config::Outcome;
use coriandernotch::fleet::Direction;
use coriandernotch::node::{Applied, Node};
use coriandernotch::platform::State;

use super::bed::{address, apply_document, call, count_runs, fleet_document, start_bed};

/// Guards against an entry instance that, later than the time limit of a change, still accepts a
/// withdrawn key, or still sends calls to a data centre out of service or to a leaving target.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn changes_take_effect_at_every_instance() {
    let bed = start_bed(3).await;
    let mut document = bed.document.clone();
    document.workspaces[0].keys[0].withdrawn = true;
    document.data_centres[0].state = Direction::Out;
    let version = apply_document(&bed.nodes()[1], &document).await;
    let in_force = bed.wait(Duration::from_secs(4), |bed| {
        let is_current = |n: &Arc<Node>| {
            n.shared()
                .control
                .current()
                .is_some_and(|s| s.version() >= version)
        };
        bed.nodes().iter().all(is_current)
    });
    assert!(
        in_force.await,
        "version {version} is not in force at every instance within 4 s"
    );
    let mut instance = bed
        .instances
        .lock()
        .unwrap()
        .iter()
        .find(|i| &*i.name == "one-mid")
        .cloned()
        .unwrap();
    instance.state = State::Leaving;
    bed.set_instance(instance);
    tokio::time::sleep(Duration::from_secs(2)).await;
    for node in bed.nodes() {
        let reply = call(address(&node), "POST", "one", "red-key", "red").await;
        assert_eq!((reply.status.as_u16(), reply.outcome()), (401, "not-run"));
        for number in 0..4 {
            let id = format!("{}-{number}", node.shared().member.name);
            assert_eq!(
                call(address(&node), "POST", "one", "blue-key", &id)
                    .await
                    .status,
                200
            );
            assert_eq!(bed.targets["one-west"].count(&id), 1);
        }
    }
}

/// Guards against calls that fail because the store is down for all instances.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_continue_while_the_store_is_down() {
    let bed = start_bed(3).await;
    bed.store.faults().set_outage(true);
    // Longer than a read of the store proves the configuration current.
    tokio::time::sleep(Duration::from_secs(5)).await;
    for node in bed.nodes() {
        let reply = call(address(&node), "POST", "one", "red-key", "a").await;
        assert_eq!(reply.status, 200, "{}", node.shared().member.name);
    }
    let refused = bed.nodes()[0]
        .shared()
        .apply(&fleet_document(), None, "test")
        .await;
    assert!(
        !matches!(refused, Applied::Committed(Outcome::Accepted(_))),
        "{refused:?}"
    );
}

/// Guards against an instance that still runs calls when it alone is cut off from the store and its
/// peers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_isolated_instance_refuses_calls() {
    let bed = start_bed(3).await;
    let isolated = bed.nodes()[2].clone();
    bed.store.faults().cut(&isolated.shared().member.name, true);
    isolated.shared().hub.stop();
    tokio::time::sleep(Duration::from_secs(4)).await;
    let reply = call(address(&isolated), "POST", "one", "red-key", "a").await;
    assert_eq!((reply.status.as_u16(), reply.outcome()), (503, "not-run"));
    assert_eq!(count_runs(&bed, "a"), 0);
    assert!(!isolated.shared().is_ready(coriandernotch::clock::now()));
    let unaffected = call(address(&bed.nodes()[0]), "POST", "one", "red-key", "b").await;
    assert_eq!(unaffected.status, 200);
}

/// Guards against a workspace that exceeds its limit of concurrent calls when it calls through all
/// instances, and against one that cannot use its whole limit through a single instance.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_limit_holds_across_instances_and_is_usable_through_one() {
    let bed = start_bed(3).await;
    bed.targets
        .values()
        .for_each(|t| t.set_service_time(Duration::from_millis(100)));
    for nodes in [bed.nodes(), vec![bed.nodes()[0].clone()]] {
        let started = std::time::Instant::now();
        let calls = (0..60).map(|number| {
            let to = address(&nodes[number % nodes.len()]);
            tokio::spawn(async move {
                call(to, "POST", "one", "red-key", &format!("{to}-{number}"))
                    .await
                    .status
                    .as_u16()
            })
        });
        let calls: Vec<_> = calls.collect();
        for call in calls {
            assert_eq!(call.await.unwrap(), 200);
        }
        println!("{} instances: {:?}", nodes.len(), started.elapsed());
    }
    let mut changes: Vec<(coriandernotch::clock::Instant, i32)> = Vec::new();
    for run in bed.targets.values().flat_map(|t| t.runs()) {
        changes.push((run.start, 1));
        changes.extend(run.end.map(|end| (end, -1)));
    }
    changes.sort();
    let mut running = 0;
    let peak = changes
        .iter()
        .map(|(_, step)| {
            running += step;
            running
        })
        .max()
        .unwrap();
    assert!(peak <= 6, "{peak} calls ran concurrently, limit 6");
    assert!(peak >= 5, "at most {peak} of 6 calls ran concurrently");
}

/// Guards against a planned stop that interrupts calls, or that reports a wrong outcome for queued
/// ones.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_interrupts_no_call() {
    let bed = start_bed(2).await;
    bed.targets
        .values()
        .for_each(|t| t.set_service_time(Duration::from_millis(300)));
    let node = bed.nodes()[0].clone();
    let to = address(&node);
    let calls: Vec<_> = (0..20)
        .map(|n| {
            let id = format!("call-{n}");
            tokio::spawn(async move { (id.clone(), call(to, "POST", "one", "red-key", &id).await) })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(100)).await;
    bed.stop_node(&node).await;
    for call in calls {
        let (id, reply) = call.await.unwrap();
        match reply.outcome() {
            "answered" => assert_eq!(
                (reply.status.as_u16(), count_runs(&bed, &id)),
                (200, 1),
                "{id}"
            ),
            outcome => assert_eq!((outcome, count_runs(&bed, &id)), ("not-run", 0), "{id}"),
        }
    }
}

/// Guards against a change that lost a race but is reported as refused for want of a majority, which
/// operators and the commands take for a failure and do not repeat.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_that_lost_a_race_ends_in_a_conflict() {
    let bed = start_bed(1).await;
    let node = bed.nodes()[0].clone();
    // The first change is held up while it stores its document; the second overtakes it.
    bed.store.faults().set_delay(Duration::from_millis(600));
    let slow = node.clone();
    let slow = tokio::spawn(async move {
        let shared = slow.shared();
        shared.apply(&fleet_document(), None, "slow").await
    });
    tokio::time::sleep(Duration::from_millis(150)).await;
    bed.store.faults().set_delay(Duration::ZERO);
    let version = apply_document(&node, &bed.document).await;
    let Applied::Committed(Outcome::Conflict(revision)) = slow.await.unwrap() else {
        panic!("the slow change was not refused as a conflict");
    };
    assert_eq!(revision.head.version, version);
}
