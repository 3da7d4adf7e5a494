//! Membership of instances in pools, budgets, moves and the lease of the manager.

mod bed;

use std::time::Duration;

use bed::{Bed, pool};
use coriandernotch::clock::Instant;
use coriandernotch::platform::{Condition, Table, Write};
use coriandernotch::pools::{
    Action, DRAIN_LIMIT, InstanceId, LEASE_TERM, Lease, Move, Outcome, Phase, Planner, Purpose,
    RETURN_LIMIT, Refusal, Step, Tenure, settle,
};
use coriandernotch::standin::{Fault, Kind, Store};

const REBOOT: Action = Action::Drain(Purpose::Reboot);

fn after(seconds: u64) -> Instant {
    Instant::default() + Duration::from_secs(seconds)
}

/// Two pools with a budget of one and two spare instances.
fn small() -> Bed {
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

/// Guards against moves that are lost, done twice or torn when an answer of the store is lost at
/// any step, and against a manager that cannot continue what a crashed one began.
#[tokio::test(start_paused = true)]
async fn a_move_ends_once_whatever_happens_at_each_step() {
    let faults = [Fault::Pass, Fault::Refuse, Fault::Drop, Fault::Lose];
    for fault in faults {
        for step in 0..3 {
            for crash in [false, true] {
                let mut bed = small();
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

/// Guards against an instance in two pools and against two managers that together break a budget.
#[tokio::test(start_paused = true)]
async fn two_managers_with_the_same_view_cannot_both_act() {
    type Steps = fn(&Bed) -> [Step; 2];
    let cases: [(&str, Steps); 3] = [
        ("same instance to two pools", |bed| {
            [move_to(bed, "spare-0", "a"), move_to(bed, "spare-0", "b")]
        }),
        ("two instances of one pool", |bed| {
            ["a-0", "a-1"].map(|name| Step::new(id(bed, name), REBOOT))
        }),
        ("a reboot and a move out of one pool", |bed| {
            [Step::new(id(bed, "a-0"), REBOOT), move_to(bed, "a-1", "b")]
        }),
    ];
    for (name, steps) in cases {
        let mut bed = small();
        bed.found().await;
        let other = bed.state.clone();
        let [mine, theirs] = steps(&bed);
        let change = other.draft(&[theirs]).unwrap();
        assert_eq!(bed.take(&[mine]).await, Outcome::Applied, "{name}");
        let table = bed.store.client("other");
        assert_eq!(settle(&table, &change).await, Outcome::Conflict, "{name}");
        bed.load().await;
        assert!(bed.state.draft(&[theirs]).is_err(), "{name}");
        bed.check_rows(name);
    }
}

/// Guards against a manager that was paused past its lease and goes on with its old token.
#[tokio::test(start_paused = true)]
async fn a_paused_manager_is_fenced_off() {
    let mut bed = small();
    bed.found().await;
    let paused = bed.state.clone();
    bed.replace_manager().await;
    let step = Step::new(id(&bed, "a-0"), REBOOT);
    let change = paused.draft(&[step]).unwrap();
    let table = bed.store.client("paused");
    assert_eq!(settle(&table, &change).await, Outcome::Conflict);
    let newest = bed.state.token();
    let old = bed.try_load(&Tenure::new(1)).await.unwrap();
    let superseded = Refusal::Superseded { token: newest };
    assert_eq!(old.draft(&[step]).unwrap_err(), superseded);
    // Nor may it put its old token over the newer one.
    assert_eq!(old.fence().unwrap_err(), superseded);
    assert_eq!(old.found().unwrap_err(), superseded);
}

/// Guards against instances that block a budget for ever.
#[tokio::test(start_paused = true)]
async fn stuck_instances_are_given_up_in_time() {
    let mut bed = small();
    bed.found().await;
    let step = Step::new(id(&bed, "a-0"), REBOOT);
    bed.take(&[step]).await;
    bed.truth("a-0").running = 3;
    bed.now = bed.now + DRAIN_LIMIT;
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
    bed.now = bed.now + RETURN_LIMIT + Duration::from_secs(1);
    bed.run().await;
    assert_eq!(bed.row("a-0").phase, Phase::Down);
    let (count, limit) = bed.state.unavailable(bed.pool("a"));
    assert_eq!((count, limit), (1, 1), "a failed reboot still counts");
    bed.truth("a-0").live = true;
    bed.truth("a-0").incarnation += 1;
    bed.run().await;
    assert_eq!(bed.row("a-0").phase, Phase::Serving);
    let now = bed.calendar.unix(bed.now);
    assert_eq!(bed.row("a-0").maintained, now, "late reboot counts");
}

/// Guards against drains that start or go on while unplanned failures exceed the budget.
#[tokio::test(start_paused = true)]
async fn failures_beyond_the_budget_stop_drains() {
    let mut bed = Bed::new(&[pool("a", 8, 2, 0), pool("spare", 2, 1, 0)]);
    bed.found().await;
    let drain = |i: u32| Step::new(InstanceId(i), REBOOT);
    bed.take(&[drain(0)]).await;
    bed.truth("a-0").running = 1;
    bed.fail_rack("a-1");
    // The failures are recorded first; only then do drains end.
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
    assert_eq!(bed.row("a-0").phase, Phase::Serving, "drain was taken back");
    let spares = Planner::plan(bed.now, &bed.state);
    assert_eq!(spares.len(), 2, "all spare instances replace lost ones");
    for planned in spares {
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

/// Guards against maintenance that leaves no room for the loss of a rack, and against buffers
/// that are needlessly held for each pool.
#[tokio::test(start_paused = true)]
async fn the_next_rack_is_covered_by_the_shared_buffer() {
    // Racks of four, one of them out at most; four spare instances in a rack of their own.
    let mut bed = Bed::new(&[
        pool("a", 12, 4, 4),
        pool("b", 12, 4, 4),
        pool("spare", 4, 3, 0),
    ]);
    bed.found().await;
    let rack = |bed: &Bed, pool: &str| {
        let ids: Vec<_> = bed.state.pool(bed.pool(pool)).unwrap().members.clone();
        let first = bed.state.instance(ids[0]).rack;
        let rack = ids
            .into_iter()
            .filter(|m| bed.state.instance(*m).rack == first);
        rack.map(|m| Step::new(m, REBOOT)).collect::<Vec<_>>()
    };
    let (a, b) = (rack(&bed, "a"), rack(&bed, "b"));
    assert_eq!(bed.take(&a).await, Outcome::Applied);
    assert_eq!(
        bed.take(&b).await,
        Outcome::Applied,
        "one buffer serves both"
    );
    let mut short = Bed::new(&[pool("a", 12, 4, 4), pool("spare", 3, 1, 0)]);
    short.found().await;
    assert!(short.state.draft(&a[..3]).is_ok());
    let refusal = short.state.draft(&a).unwrap_err();
    assert!(matches!(
        refusal,
        Refusal::Rack {
            need: 4,
            have: 3,
            ..
        }
    ));
    // A spare instance that covers a wave cannot be taken away meanwhile.
    let reboot = Step::new(id(&bed, "spare-0"), REBOOT);
    assert!(matches!(
        bed.state.draft(&[reboot]),
        Err(Refusal::Rack { .. })
    ));
}

/// Guards against a data centre loss that a budget was made for but maintenance uses up.
#[test]
fn a_budget_for_a_data_centre_is_kept_for_it() {
    // Two data centres, three instances in each.
    let bed = Bed::new(&[pool("a", 6, 3, 0), pool("spare", 0, 0, 0)]);
    let drain = Step::new(InstanceId(0), REBOOT);
    let refusal = bed.state.draft(&[drain]).unwrap_err();
    assert!(matches!(refusal, Refusal::DataCentre { need: 1, .. }));
}

/// Guards against decisions on rows of different moments.
#[tokio::test(start_paused = true)]
async fn a_torn_read_is_noticed() {
    let mut bed = small();
    bed.found().await;
    let mut row = bed.row("a-0");
    row.phase = Phase::Draining;
    let value = serde_json::to_string(&row).unwrap();
    let write = Write::put("instances/a-0", Condition::Any, &value);
    bed.store.client("x").transact(vec![write]).await.unwrap();
    assert!(bed.try_load(&Tenure::new(1)).await.is_none());
}

/// Guards against moves by way of the spare pool, and against moves that undo each other.
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
    assert_eq!(Planner::minimum(bed.now, &bed.state), 3);
    assert!(moves.iter().all(|m| m.from == bed.pool("a")));
    bed.take(&[moves[0].start()]).await;
    assert_eq!(Planner::plan(bed.now, &bed.state).len(), 2);
    assert_eq!(Move::under_way(&bed.state).count(), 1);
    for _ in 0..20 {
        let steps: Vec<_> = Planner::plan(bed.now, &bed.state);
        for planned in steps {
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

/// Guards against a lease that two hold by their own clocks, and against a reused token.
#[tokio::test(start_paused = true)]
async fn the_lease_passes_on_with_a_greater_token() {
    let token = |tenure: Option<Tenure>| tenure.map(|t| t.token());
    let store = Store::new();
    let (a, b) = (store.client("a"), store.client("b"));
    let mut first = Lease::new("a-1");
    let mut second = Lease::new("b-1");
    assert_eq!(token(first.turn(after(0), &a).await.unwrap()), Some(1));
    assert_eq!(token(second.turn(after(1), &b).await.unwrap()), None);
    // The answer is lost; the next turn finds the write.
    store.faults().inject(Kind::Write, [Fault::Lose]);
    assert!(first.turn(after(5), &a).await.is_err());
    assert_eq!(token(second.turn(after(11), &b).await.unwrap()), None);
    assert_eq!(token(first.turn(after(12), &a).await.unwrap()), Some(1));
    // The first holder is paused.
    assert_eq!(token(second.turn(after(13), &b).await.unwrap()), None);
    let late = after(13) + LEASE_TERM;
    assert_eq!(token(second.turn(late, &b).await.unwrap()), Some(2));
    assert_eq!(token(first.tenure(late)), None);
    assert_eq!(token(first.turn(late, &a).await.unwrap()), None);
}

/// Guards against a write that was lost and is taken for an older one with the same operation.
#[tokio::test(start_paused = true)]
async fn a_manager_that_loads_again_does_not_reuse_operations() {
    let mut bed = small();
    bed.found().await;
    let step = Step::new(id(&bed, "a-0"), REBOOT);
    bed.take(&[step]).await;
    let used = bed.row("a-0").operation;
    bed.load().await;
    let cancel = Step::new(step.instance, Action::Cancel);
    let next = (0..8).map(|_| bed.state.draft(&[cancel]).unwrap().operation);
    assert!(next.into_iter().all(|operation| operation != used));
}
