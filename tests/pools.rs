//! Tests of pool membership, availability budgets, moves between pools and the manager's lease.

mod bed;
#[path = "bed/late_table.rs"]
mod late_table;

use std::time::Duration;

use bed::{Bed, pool};
use coriandernotch::clock::Instant;
use coriandernotch::platform::{Condition, Table, Write};
use coriandernotch::pools::{
    Action, DRAIN_TIMEOUT, InstanceId, LEASE_TERM, Lease, Move, Outcome, Phase, Planner, Purpose,
    RETURN_TIMEOUT, Refusal, Step, Tenure, commit,
};
use coriandernotch::standin::{Fault, Kind, Store};
use late_table::LateTable;

const DRAIN_FOR_REBOOT: Action = Action::Drain(Purpose::Reboot);

fn after(seconds: u64) -> Instant {
    Instant::default() + Duration::from_secs(seconds)
}

/// Two pools with a budget of one, and a spare pool of two instances.
fn small_fleet() -> Bed {
    Bed::new(&[
        pool("a", 4, 1, 0),
        pool("b", 4, 1, 0),
        pool("spare", 2, 1, 0),
    ])
}

fn id(bed: &Bed, name: &str) -> InstanceId {
    bed.state.instance_id(name).unwrap()
}

fn move_to(bed: &Bed, instance: &str, to: &str) -> Step {
    let to = bed.pool(to);
    Step::new(id(bed, instance), Action::Drain(Purpose::Move(to)))
}

/// Guards against moves that are lost, repeated or left incomplete when a write or its reply fails
/// at any step, and against a manager that cannot continue a move of one that crashed.
#[tokio::test(start_paused = true)]
async fn each_move_completes_once_despite_faults_and_crashes() {
    let faults = [Fault::Pass, Fault::Refuse, Fault::Drop, Fault::Lose];
    for fault in faults {
        for step in 0..3 {
            for crash in [false, true] {
                let mut bed = small_fleet();
                bed.found().await;
                for turn in 0..3 {
                    if turn == step {
                        bed.store.faults().inject(Kind::Write, [fault]);
                    }
                    let steps = match turn {
                        0 => vec![move_to(&bed, "spare-0", "a")],
                        _ => bed.review(),
                    };
                    assert_eq!(steps.len(), 1, "{fault:?} at {step}, turn {turn}");
                    let outcome = bed.take(&steps).await;
                    if matches!(outcome, Outcome::Unavailable(_)) {
                        assert_eq!(fault, Fault::Refuse);
                        assert_eq!(bed.take(&steps).await, Outcome::Applied);
                    }
                    if crash && turn == step {
                        bed.replace_manager().await;
                    }
                }
                let label = format!("{fault:?} at {step}, crash {crash}");
                assert_eq!(bed.row("spare-0").pool.as_ref(), "a", "{label}");
                assert_eq!(bed.row("spare-0").phase, Phase::Serving, "{label}");
                assert!(bed.review().is_empty(), "{label}");
                bed.check_rows(&label);
            }
        }
    }
}

/// Guards against an instance in two pools, and against two managers whose steps are each within a
/// budget but exceed it together.
#[tokio::test(start_paused = true)]
async fn two_managers_with_the_same_state_cannot_both_commit() {
    type Steps = fn(&Bed) -> [Step; 2];
    let cases: [(&str, Steps); 3] = [
        ("same instance to two pools", |bed| {
            [move_to(bed, "spare-0", "a"), move_to(bed, "spare-0", "b")]
        }),
        ("two instances of one pool", |bed| {
            ["a-0", "a-1"].map(|name| Step::new(id(bed, name), DRAIN_FOR_REBOOT))
        }),
        ("a reboot and a move out of one pool", |bed| {
            [
                Step::new(id(bed, "a-0"), DRAIN_FOR_REBOOT),
                move_to(bed, "a-1", "b"),
            ]
        }),
    ];
    for (name, steps) in cases {
        let mut bed = small_fleet();
        bed.found().await;
        let other = bed.state.clone();
        let [mine, theirs] = steps(&bed);
        let change = other.draft(&[theirs]).unwrap();
        assert_eq!(bed.take(&[mine]).await, Outcome::Applied, "{name}");
        let table = bed.store.client("other");
        assert_eq!(commit(&table, &change).await, Outcome::Conflict, "{name}");
        bed.load().await;
        assert!(bed.state.draft(&[theirs]).is_err(), "{name}");
        bed.check_rows(name);
    }
}

/// Guards against a manager that was paused beyond its lease and continues with its old token.
#[tokio::test(start_paused = true)]
async fn a_paused_manager_is_fenced_off() {
    let mut bed = small_fleet();
    bed.found().await;
    let paused = bed.state.clone();
    bed.replace_manager().await;
    let step = Step::new(id(&bed, "a-0"), DRAIN_FOR_REBOOT);
    let change = paused.draft(&[step]).unwrap();
    let table = bed.store.client("paused");
    assert_eq!(commit(&table, &change).await, Outcome::Conflict);
    let newest = bed.state.token();
    let old = bed.try_load(&Tenure::new(1)).await.unwrap();
    let superseded = Refusal::Superseded { token: newest };
    assert_eq!(old.draft(&[step]).unwrap_err(), superseded);
    // It may not replace the newer token with its old one either.
    assert_eq!(old.fence().unwrap_err(), superseded);
    assert_eq!(old.missing_rows().unwrap_err(), superseded);
}

/// Guards against stuck instances that use up a budget for ever.
#[tokio::test(start_paused = true)]
async fn stuck_drains_are_cancelled_and_stuck_reboots_fail() {
    let mut bed = small_fleet();
    bed.found().await;
    let step = Step::new(id(&bed, "a-0"), DRAIN_FOR_REBOOT);
    bed.take(&[step]).await;
    bed.truth("a-0").running = 3;
    bed.now = bed.now + DRAIN_TIMEOUT;
    assert!(bed.review().is_empty());
    bed.now = bed.now + Duration::from_secs(1);
    assert_eq!(bed.review(), [Step::new(step.instance, Action::Cancel)]);
    bed.run().await;
    assert_eq!(bed.row("a-0").phase, Phase::Serving);

    bed.truth("a-0").running = 0;
    bed.take(&[step]).await;
    bed.run().await;
    assert_eq!(bed.row("a-0").phase, Phase::Rebooting);
    bed.truth("a-0").live = false;
    bed.now = bed.now + RETURN_TIMEOUT + Duration::from_secs(1);
    bed.run().await;
    assert_eq!(bed.row("a-0").phase, Phase::Down);
    let (count, limit) = bed.state.unavailable(bed.pool("a"));
    assert_eq!((count, limit), (1, 1), "a failed reboot uses the budget");
    bed.truth("a-0").live = true;
    bed.truth("a-0").incarnation += 1;
    bed.run().await;
    assert_eq!(bed.row("a-0").phase, Phase::Serving);
    let now = bed.calendar.unix_time(bed.now);
    assert_eq!(bed.row("a-0").maintained, now, "a late reboot is recorded");
}

/// Guards against drains that start or continue while unplanned failures exceed the budget.
#[tokio::test(start_paused = true)]
async fn failures_beyond_the_budget_stop_drains() {
    let mut bed = Bed::new(&[pool("a", 8, 2, 0), pool("spare", 2, 1, 0)]);
    bed.found().await;
    let drain = |i: u32| Step::new(InstanceId(i), DRAIN_FOR_REBOOT);
    bed.take(&[drain(0)]).await;
    bed.truth("a-0").running = 1;
    bed.fail_rack("a-1");
    // The first run records the failures; the drain is cancelled in the second one.
    bed.run().await;
    assert!(matches!(
        bed.state.draft(&[drain(2)]),
        Err(Refusal::Budget { .. })
    ));
    let proceed = Step::new(InstanceId(0), Action::Proceed { incarnation: 1 });
    assert_eq!(bed.row("a-0").phase, Phase::Draining);
    assert!(matches!(
        bed.state.draft(&[proceed]),
        Err(Refusal::Budget { .. })
    ));
    bed.run().await;
    assert_eq!(
        bed.row("a-0").phase,
        Phase::Serving,
        "the drain is cancelled"
    );
    let replacements = Planner::plan(bed.now, &bed.state);
    assert_eq!(
        replacements.len(),
        2,
        "all spare instances replace failed ones"
    );
    for planned in replacements {
        bed.take(&[planned.start()]).await;
        bed.run().await;
        bed.run().await;
        let instance = bed.state.instance(planned.instance);
        assert_eq!(
            (instance.pool, instance.phase),
            (planned.to, Phase::Serving)
        );
    }
    assert_eq!(bed.state.unavailable(bed.pool("a")), (4, 2));
}

/// Guards against maintenance that leaves too few spare instances for the loss of a rack, and
/// against a separate buffer for each pool where a shared one is enough.
#[tokio::test(start_paused = true)]
async fn a_shared_buffer_covers_the_loss_of_a_rack() {
    // Each budget allows the loss of one rack of four. The spare instances are in other racks.
    let mut bed = Bed::new(&[
        pool("a", 12, 4, 4),
        pool("b", 12, 4, 4),
        pool("spare", 4, 3, 0),
    ]);
    bed.found().await;
    let reboot_first_rack = |bed: &Bed, pool: &str| {
        let ids: Vec<_> = bed.state.pool(bed.pool(pool)).unwrap().members.clone();
        let first = bed.state.instance(ids[0]).rack;
        let rack = ids
            .into_iter()
            .filter(|m| bed.state.instance(*m).rack == first);
        rack.map(|m| Step::new(m, DRAIN_FOR_REBOOT))
            .collect::<Vec<_>>()
    };
    let (a, b) = (reboot_first_rack(&bed, "a"), reboot_first_rack(&bed, "b"));
    assert_eq!(bed.take(&a).await, Outcome::Applied);
    assert_eq!(
        bed.take(&b).await,
        Outcome::Applied,
        "one buffer is enough for both pools"
    );
    let mut small_buffer = Bed::new(&[pool("a", 12, 4, 4), pool("spare", 3, 1, 0)]);
    small_buffer.found().await;
    assert!(small_buffer.state.draft(&a[..3]).is_ok());
    let refusal = small_buffer.state.draft(&a).unwrap_err();
    assert!(matches!(
        refusal,
        Refusal::Rack {
            need: 4,
            have: 3,
            ..
        }
    ));
    // A spare instance cannot be rebooted while the maintenance of a pool depends on it.
    let reboot = Step::new(id(&bed, "spare-0"), DRAIN_FOR_REBOOT);
    assert!(matches!(
        bed.state.draft(&[reboot]),
        Err(Refusal::Rack { .. })
    ));
}

/// Guards against maintenance that uses up a budget intended for the loss of a data centre.
#[test]
fn maintenance_keeps_a_budget_for_the_loss_of_a_data_centre() {
    // Two data centres, three instances in each.
    let bed = Bed::new(&[pool("a", 6, 3, 0), pool("spare", 0, 0, 0)]);
    let drain = Step::new(InstanceId(0), DRAIN_FOR_REBOOT);
    let refusal = bed.state.draft(&[drain]).unwrap_err();
    assert!(matches!(refusal, Refusal::DataCentre { need: 1, .. }));
}

/// Guards against decisions based on rows from different points in time.
#[tokio::test(start_paused = true)]
async fn a_torn_read_is_detected() {
    let mut bed = small_fleet();
    bed.found().await;
    let mut row = bed.row("a-0");
    row.phase = Phase::Draining;
    let value = serde_json::to_string(&row).unwrap();
    let write = Write::put("instances/a-0", Condition::Any, &value);
    bed.store.client("x").transact(vec![write]).await.unwrap();
    assert!(bed.try_load(&Tenure::new(1)).await.is_none());
}

/// Guards against detours through the spare pool, and against moves that undo each other.
#[tokio::test(start_paused = true)]
async fn sizes_are_reached_with_the_fewest_moves() {
    let mut bed = Bed::new(&[
        pool("a", 8, 2, 0),
        pool("b", 8, 2, 0),
        pool("spare", 4, 1, 0),
    ]);
    bed.found().await;
    bed.resize(&[("a", 5), ("b", 10), ("spare", 5)]);
    bed.load().await;
    let moves = Planner::plan(bed.now, &bed.state);
    assert_eq!(moves.len(), 3);
    assert_eq!(Planner::minimum_moves(bed.now, &bed.state), 3);
    assert!(moves.iter().all(|m| m.from == bed.pool("a")));
    bed.take(&[moves[0].start()]).await;
    assert_eq!(Planner::plan(bed.now, &bed.state).len(), 2);
    assert_eq!(Move::under_way(&bed.state).count(), 1);
    for _ in 0..20 {
        let moves: Vec<_> = Planner::plan(bed.now, &bed.state);
        for planned in moves {
            if bed.state.check(&[planned.start()]).is_ok() {
                bed.take(&[planned.start()]).await;
            }
        }
        bed.run().await;
    }
    let sizes = ["a", "b", "spare"].map(|p| bed.state.pool(bed.pool(p)).unwrap().members.len());
    assert_eq!(sizes, [5, 10, 5]);
    bed.check_rows("resized");
}

/// Guards against a lease that two processes hold at once by their own clocks, and against a reused
/// token.
#[tokio::test(start_paused = true)]
async fn the_next_lease_holder_gets_a_greater_token() {
    let token = |tenure: Option<Tenure>| tenure.map(|t| t.token());
    let store = Store::new();
    let (a, b) = (store.client("a"), store.client("b"));
    let mut first = Lease::new("a-1");
    let mut second = Lease::new("b-1");
    assert_eq!(token(first.turn(after(0), &a).await.unwrap()), Some(1));
    assert_eq!(token(second.turn(after(1), &b).await.unwrap()), None);
    // The reply is lost; the next call finds the write.
    store.faults().inject(Kind::Write, [Fault::Lose]);
    assert!(first.turn(after(5), &a).await.is_err());
    assert_eq!(token(second.turn(after(11), &b).await.unwrap()), None);
    assert_eq!(token(first.turn(after(12), &a).await.unwrap()), Some(1));
    // From here the first holder is paused until its lease has expired.
    assert_eq!(token(second.turn(after(13), &b).await.unwrap()), None);
    let expired = after(13) + LEASE_TERM;
    assert_eq!(token(second.turn(expired, &b).await.unwrap()), Some(2));
    assert_eq!(token(first.tenure(expired)), None);
    assert_eq!(token(first.turn(expired, &a).await.unwrap()), None);
}

/// Guards against a lost write that is mistaken for an older one, because a holder that renewed its
/// lease after a conflict with its own late renewal gave out the same operations again.
#[tokio::test(start_paused = true)]
async fn a_late_renewal_repeats_no_operation() {
    let table = LateTable::new(Store::new().client("a"));
    let mut lease = Lease::new("a-1");
    let first = lease.turn(after(0), &table).await.unwrap().unwrap();
    let used = first.next_operation();
    table.hold_next();
    assert!(lease.turn(after(1), &table).await.is_err());
    // The renewal that was held back is stored before this one, which conflicts.
    lease.turn(after(2), &table).await.unwrap();
    let second = lease.turn(after(3), &table).await.unwrap().unwrap();
    assert_ne!(second.next_operation(), used);
}

/// Guards against the same if a process creates its lease anew.
#[tokio::test(start_paused = true)]
async fn a_holder_without_its_tenure_repeats_no_operation() {
    let table = Store::new().client("a");
    let turn = async || Lease::new("a-1").turn(after(0), &table).await;
    let used = turn().await.unwrap().unwrap().next_operation();
    assert_ne!(turn().await.unwrap().unwrap().next_operation(), used);
}

/// Guards against a lost write that is mistaken for an older one with the same operation.
#[tokio::test(start_paused = true)]
async fn a_manager_that_reloads_does_not_reuse_operations() {
    let mut bed = small_fleet();
    bed.found().await;
    let step = Step::new(id(&bed, "a-0"), DRAIN_FOR_REBOOT);
    bed.take(&[step]).await;
    let used = bed.row("a-0").operation;
    bed.load().await;
    let cancel = Step::new(step.instance, Action::Cancel);
    let next = (0..8).map(|_| bed.state.draft(&[cancel]).unwrap().operation);
    assert!(next.into_iter().all(|operation| operation != used));
}
