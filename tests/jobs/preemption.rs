//! Capacity that is taken back for shares, urgent jobs and data centres.

use coriandernotch::fleet::DataCentreId;
use coriandernotch::jobs::{Action, Size, Spec, Tuning};

use super::fixture::{at_ms, complete_actions, new_scheduler, spec, start_all, submit_all};

/// Guards against a workspace that keeps using capacity beyond its fair share when another
/// workspace needs it.
#[test]
fn borrowed_capacity_is_reclaimed() {
    let mut scheduler = new_scheduler(2, 2, 10_000, Tuning::default());
    submit_all(&mut scheduler, 400, spec(0, 4_000), at_ms(0));
    let borrowed = start_all(&mut scheduler, at_ms(0)).len();
    submit_all(&mut scheduler, 400, spec(1, 4_000), at_ms(1));
    assert_eq!(start_all(&mut scheduler, at_ms(1)), []);
    let actions = scheduler.balance(at_ms(2));
    complete_actions(&mut scheduler, &actions, at_ms(3));
    let reclaimed = start_all(&mut scheduler, at_ms(3)).len();
    assert!(
        reclaimed.abs_diff(borrowed / 2) <= 1,
        "{reclaimed} of {borrowed} reclaimed"
    );
    assert_eq!(
        scheduler.balance(at_ms(4)),
        [],
        "nothing more is reclaimed once the shares are even"
    );
}

/// Guards against urgent jobs that wait for ordinary jobs to end, and against a checkpoint where
/// throttling suffices.
#[test]
fn room_is_made_for_urgent_jobs() {
    // (headroom in percent, memory of an ordinary job in MiB, whether it can be checkpointed, kind
    // of action that makes room; empty if the headroom suffices)
    let cases = [
        (15, 4_000, true, ""),
        (0, 4_000, true, "throttle"),
        (0, 4_000, false, "throttle"),
        // Throttling frees no memory.
        (0, 32_768, true, "checkpoint"),
        (0, 32_768, false, "nothing helps"),
    ];
    for (headroom_percent, memory, checkpoints, expected) in cases {
        let tuning = Tuning {
            headroom_percent,
            ..Tuning::default()
        };
        let mut scheduler = new_scheduler(1, 2, 10_000, tuning);
        let ordinary = Spec {
            checkpoints,
            declared: Size::new(4_000, memory, 0),
            ..spec(0, 1)
        };
        submit_all(&mut scheduler, 200, ordinary, at_ms(0));
        start_all(&mut scheduler, at_ms(0));
        let urgent = Spec {
            urgent: true,
            ..spec(1, 4_000)
        };
        let job = scheduler.submit(urgent, at_ms(1)).unwrap();
        if !expected.is_empty() {
            assert_eq!(scheduler.next_start(at_ms(1)), None);
            let actions = scheduler.balance(at_ms(1));
            let kinds = actions.iter().map(|a| match a {
                Action::Throttle { .. } => "throttle",
                Action::Checkpoint { .. } => "checkpoint",
                Action::Stop { .. } => "stop",
            });
            let kinds: Vec<_> = kinds.collect();
            assert_eq!(kinds.is_empty(), expected == "nothing helps");
            assert!(
                kinds.iter().all(|k| *k == expected),
                "{kinds:?} for {expected}"
            );
            assert_eq!(
                scheduler.balance(at_ms(2)),
                [],
                "room is requested only once"
            );
            complete_actions(&mut scheduler, &actions, at_ms(500));
        }
        let started = scheduler.next_start(at_ms(500)).map(|s| s.job);
        assert_eq!(
            started,
            (expected != "nothing helps").then_some(job),
            "{expected}"
        );
    }
}

/// Guards against counting the resources of a started urgent job as about to be released.
#[test]
fn a_started_urgent_job_is_not_marked_as_stopping() {
    let mut scheduler = new_scheduler(
        1,
        2,
        10_000,
        Tuning {
            headroom_percent: 0,
            ..Tuning::default()
        },
    );
    submit_all(&mut scheduler, 200, spec(0, 4_000), at_ms(0));
    start_all(&mut scheduler, at_ms(0));
    let urgent = Spec {
        urgent: true,
        ..spec(1, 4_000)
    };
    let job = scheduler.submit(urgent, at_ms(1)).unwrap();
    let actions = scheduler.balance(at_ms(1));
    complete_actions(&mut scheduler, &actions, at_ms(2));
    scheduler.next_start(at_ms(2)).unwrap();
    assert_eq!(scheduler.job(job).unwrap().stopping, None);
}

/// Guards against starts in a data centre that operators have taken out of service while its jobs
/// are being moved.
#[test]
fn a_data_centre_taken_out_of_service_is_emptied_and_stays_empty() {
    let mut scheduler = new_scheduler(2, 1, 10_000, Tuning::default());
    submit_all(&mut scheduler, 300, spec(0, 4_000), at_ms(0));
    let running = start_all(&mut scheduler, at_ms(0));
    let out = DataCentreId(1);
    let moves = scheduler.set_out_of_service(out, true, at_ms(1));
    assert!(!moves.is_empty() && moves.len() < running.len());
    complete_actions(&mut scheduler, &moves, at_ms(2));
    for start in start_all(&mut scheduler, at_ms(3)) {
        assert_ne!(scheduler.placement().worker(start.worker).data_centre, out);
    }
    scheduler.set_out_of_service(out, false, at_ms(4));
    assert!(!start_all(&mut scheduler, at_ms(5)).is_empty());
}
