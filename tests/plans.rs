//! Maintenance plans under failures, crashes, pauses and closed windows.

mod bed;

use std::time::Duration;

use bed::{Bed, UNIX, pool};
use coriandernotch::clock::Instant;
use coriandernotch::fleet;
use coriandernotch::plans::{
    Blocker, Calendar, Health, Plan, RECOVERY_TIME, Record, Status, Window, set_status,
};
use coriandernotch::pools::{DRAIN_TIMEOUT, Operation, Outcome, Phase, RETURN_TIMEOUT};
use coriandernotch::standin::{Fault, Kind};

const MINUTE: Duration = Duration::from_secs(60);

fn plan(bed: &Bed, start: u32, hours: u32) -> Plan {
    let plan = serde_json::json!({"name": "reboots", "pool": "a", "period-days": 21,
        "window-start-hour": start, "window-hours": hours});
    let plan: fleet::Plan = serde_json::from_value(plan).unwrap();
    Plan::new(&plan, bed.pool("a"))
}

/// Creates a pool of 16 instances in racks of four, of which five may be unavailable, a spare pool,
/// and a plan for the first pool that is always open.
async fn bed_with_plan() -> (Bed, Plan, Calendar) {
    let mut bed = Bed::new(&[pool("a", 16, 5, 4), pool("spare", 8, 1, 0)]);
    bed.found().await;
    let plan = plan(&bed, 0, 24);
    let calendar = bed.calendar;
    (bed, plan, calendar)
}

/// Returns the number of restarts of each instance of the pool.
fn restarts(bed: &Bed) -> Vec<u64> {
    let sights = bed.sights.iter().filter(|(name, _)| name.starts_with('a'));
    sights.map(|(_, sight)| sight.incarnation - 1).collect()
}

fn unavailable(bed: &Bed) -> u32 {
    bed.state.unavailable(bed.pool("a")).0
}

fn is_done(bed: &Bed, plan: &Plan, calendar: &Calendar) -> bool {
    let progress = plan.progress(bed.now, calendar, &bed.state);
    progress.done == progress.total
}

/// Guards against instances that are rebooted twice or never because the store fails or another
/// manager takes over between turns.
#[tokio::test(start_paused = true)]
async fn every_instance_is_rebooted_once_despite_store_faults_and_manager_changes() {
    let cases: [(&str, Option<Fault>, usize); 5] = [
        ("nothing", None, usize::MAX),
        ("answers lost", Some(Fault::Lose), usize::MAX),
        ("requests lost", Some(Fault::Drop), usize::MAX),
        ("requests refused", Some(Fault::Refuse), usize::MAX),
        ("a new manager every turn", None, 1),
    ];
    for (name, fault, turns_per_manager) in cases {
        let (mut bed, mut current_plan, calendar) = bed_with_plan().await;
        for turn in 1..100 {
            if let Some(fault) = fault {
                let faults = [fault, Fault::Pass, fault];
                bed.store.faults().inject(Kind::Write, faults);
            }
            bed.turn(&mut current_plan, &calendar).await;
            assert!(unavailable(&bed) <= 5, "{name} turn {turn}");
            bed.check_rows(name);
            bed.now = bed.now + MINUTE;
            if turn % turns_per_manager == 0 {
                bed.replace_manager().await;
                current_plan = plan(&bed, 0, 24);
                let row = bed.store.row(&Record::key("reboots"));
                current_plan.record = Record::read(row.as_ref()).unwrap();
            }
            if is_done(&bed, &current_plan, &calendar) {
                break;
            }
        }
        assert_eq!(restarts(&bed), [1; 16], "{name}");
        bed.turn(&mut current_plan, &calendar).await;
        assert_eq!(unavailable(&bed), 0, "{name}");
        let blocker = current_plan
            .progress(bed.now, &calendar, &bed.state)
            .blocker;
        assert_eq!(blocker, Some(Blocker::Done), "{name}");
    }
}

/// Guards against waves that start while failures have used up the budget, and against plans that
/// do not resume by themselves afterwards.
#[tokio::test(start_paused = true)]
async fn a_plan_stops_during_failures_and_resumes_afterwards() {
    type Fail = fn(&mut Bed);
    // Name, failure, failed instances of the pool, drains that the budget still allows.
    let cases: [(&str, Fail, u32, usize); 2] = [
        ("rack lost", |bed| bed.fail_rack("a-8"), 4, 1),
        (
            "data centre out",
            |bed| bed.set_data_centre("y", false),
            8,
            0,
        ),
    ];
    for (name, fail, failed, max_draining) in cases {
        let (mut bed, mut plan, calendar) = bed_with_plan().await;
        for sight in bed.sights.values_mut() {
            sight.running = 1;
        }
        bed.turn(&mut plan, &calendar).await;
        assert_eq!(unavailable(&bed), 5, "{name}");
        fail(&mut bed);
        bed.run().await;
        bed.run().await;
        assert_eq!(draining(&bed), 0, "{name}: drains were cancelled");
        assert_eq!(
            unavailable(&bed),
            failed,
            "{name}: only failed instances are unavailable"
        );
        for _ in 0..5 {
            bed.turn(&mut plan, &calendar).await;
            assert!(draining(&bed) <= max_draining, "{name}");
            bed.now = bed.now + MINUTE;
        }
        let blocker = plan.progress(bed.now, &calendar, &bed.state).blocker;
        assert!(
            matches!(blocker, Some(Blocker::Budget(_))),
            "{name}: {blocker:?}"
        );
        bed.set_data_centre("x", true);
        bed.set_data_centre("y", true);
        for sight in bed.sights.values_mut() {
            sight.running = 0;
        }
        for _ in 0..300 {
            bed.turn(&mut plan, &calendar).await;
            bed.now = bed.now + MINUTE;
        }
        assert_eq!(restarts(&bed), [1; 16], "{name}");
    }
}

fn draining(bed: &Bed) -> usize {
    let instances = bed.state.instances();
    instances
        .filter(|(_, i)| i.phase == Phase::Draining)
        .count()
}

/// Guards against an instance that never completes its drain and so blocks the maintenance of all
/// others.
#[tokio::test(start_paused = true)]
async fn an_instance_stuck_in_its_drain_does_not_block_the_others() {
    let (mut bed, mut plan, calendar) = bed_with_plan().await;
    bed.truth("a-3").running = 1;
    for _ in 0..40 {
        bed.turn(&mut plan, &calendar).await;
        bed.now = bed.now + MINUTE;
    }
    let stuck = restarts(&bed).iter().filter(|n| **n == 0).count();
    assert_eq!(stuck, 1);
    assert!(bed.now.since(Instant::default()) > DRAIN_TIMEOUT);
    assert_eq!(unavailable(&bed), 0, "the drain was cancelled");
    bed.truth("a-3").running = 0;
    for _ in 0..70 {
        bed.turn(&mut plan, &calendar).await;
        bed.now = bed.now + MINUTE;
    }
    assert_eq!(restarts(&bed), [1; 16], "the instance was tried again");
}

/// Guards against a failed reboot that the budget no longer counts or that stops the plan.
#[tokio::test(start_paused = true)]
async fn an_instance_that_does_not_return_stays_unavailable() {
    let (mut bed, mut plan, calendar) = bed_with_plan().await;
    bed.turn(&mut plan, &calendar).await;
    bed.run().await;
    let rebooting = bed
        .state
        .instances()
        .find(|(_, i)| i.phase == Phase::Rebooting);
    let name = rebooting.unwrap().1.name.to_string();
    bed.truth(&name).live = false;
    let turns = RETURN_TIMEOUT.as_secs() / 60 + 30;
    for _ in 0..turns {
        bed.turn(&mut plan, &calendar).await;
        assert!(unavailable(&bed) <= 5);
        bed.now = bed.now + MINUTE;
    }
    let progress = plan.progress(bed.now, &calendar, &bed.state);
    assert_eq!((progress.done, progress.down), (15, 1));
    assert_eq!(unavailable(&bed), 1);
}

/// Guards against a wave that starts after the pause of the plan was accepted.
#[tokio::test(start_paused = true)]
async fn no_wave_starts_after_an_accepted_pause() {
    let (mut bed, mut plan, calendar) = bed_with_plan().await;
    let wave = plan.choose(bed.now, &calendar, &bed.state).unwrap();
    let table = bed.store.client("operator");
    bed.store.faults().inject(Kind::Write, [Fault::Lose]);
    let paused = set_status(&table, "reboots", Status::Paused, "ana", Operation(1));
    let paused = paused.await.unwrap();
    assert_eq!(paused.status, Status::Paused);
    // The manager has not read the row since the pause.
    assert_eq!(bed.start(&mut plan, &wave).await, Outcome::Conflict);
    plan.record = paused;
    let blocker = plan.choose(bed.now, &calendar, &bed.state);
    assert_eq!(blocker, Err(Blocker::Paused));
    let resume = set_status(&table, "reboots", Status::Running, "ana", Operation(2));
    plan.record = resume.await.unwrap();
    assert!(plan.choose(bed.now, &calendar, &bed.state).is_ok());
    let withdraw = set_status(&table, "reboots", Status::Withdrawn, "ana", Operation(3));
    withdraw.await.unwrap();
    let resume_withdrawn = set_status(&table, "reboots", Status::Running, "bo", Operation(4));
    plan.record = resume_withdrawn.await.unwrap();
    let blocker = plan.choose(bed.now, &calendar, &bed.state);
    assert_eq!(blocker, Err(Blocker::Withdrawn));
}

/// Guards against drains that continue after the plan was stopped or its window closed.
#[tokio::test(start_paused = true)]
async fn a_stopped_plan_cancels_its_drains() {
    type Stop = fn(&mut Bed, &mut Plan);
    let cases: [(&str, Stop, Option<Blocker>); 3] = [
        (
            "paused",
            |_, plan| plan.record.status = Status::Paused,
            Some(Blocker::Paused),
        ),
        (
            "unhealthy",
            |bed, plan| plan.health.observe(bed.now, 1000, 100),
            Some(Blocker::Unhealthy),
        ),
        (
            "window closed",
            |bed, _| bed.now = bed.now + Duration::from_secs(4 * 3600),
            Some(Blocker::Window {
                opens_at: UNIX + 86_400,
            }),
        ),
    ];
    for (name, stop, blocker) in cases {
        let (mut bed, _, calendar) = bed_with_plan().await;
        let mut plan = plan(&bed, 0, 4);
        for sight in bed.sights.values_mut() {
            sight.running = 1;
        }
        bed.turn(&mut plan, &calendar).await;
        assert_eq!(draining(&bed), 5, "{name}");
        stop(&mut bed, &mut plan);
        bed.turn(&mut plan, &calendar).await;
        assert_eq!(unavailable(&bed), 0, "{name}");
        let progress = plan.progress(bed.now, &calendar, &bed.state);
        assert_eq!(progress.blocker, blocker, "{name}");
    }
}

/// Guards against a drain that starts too late to complete within the window.
#[tokio::test(start_paused = true)]
async fn nothing_starts_shortly_before_the_window_closes() {
    let (mut bed, _, calendar) = bed_with_plan().await;
    let mut plan = plan(&bed, 0, 4);
    bed.now = bed.now + Duration::from_secs(4 * 3600 - 300);
    let opens_at = UNIX + 86_400;
    let blocker = plan.choose(bed.now, &calendar, &bed.state);
    assert_eq!(blocker, Err(Blocker::Window { opens_at }));
}

/// Guards against a plan that flaps when the share of failed calls is near a threshold.
#[test]
fn health_recovers_only_after_the_recovery_time() {
    let mut health = Health::default();
    let at = |seconds| Instant::default() + Duration::from_secs(seconds);
    health.observe(at(0), 10, 10);
    assert!(health.is_good(), "too few calls to compute a share");
    health.observe(at(1), 1000, 60);
    assert!(!health.is_good());
    health.observe(at(200), 1000, 30);
    health.observe(at(1 + RECOVERY_TIME.as_secs()), 1000, 0);
    assert!(
        !health.is_good(),
        "too many calls failed within the recovery time"
    );
    health.observe(at(200 + RECOVERY_TIME.as_secs()), 1000, 0);
    assert!(health.is_good());
}

/// Guards against windows across midnight that open or close on the wrong day.
#[test]
fn windows_open_and_close_on_time() {
    const HOUR: u64 = 3600;
    let cases = [
        // start hour, hours, now, seconds remaining, next opening
        (0, 24, 5, u64::MAX, 5),
        (4, 6, 3 * HOUR, 0, 4 * HOUR),
        (4, 6, 4 * HOUR, 6 * HOUR, 4 * HOUR),
        (4, 6, 10 * HOUR, 0, 28 * HOUR),
        (22, 4, 25 * HOUR, HOUR, 25 * HOUR),
        (22, 4, 26 * HOUR, 0, 46 * HOUR),
    ];
    for (start, hours, now, remaining, next_opening) in cases {
        let window = Window::new(start, hours);
        assert_eq!(
            (window.remaining(now), window.next_opening(now)),
            (remaining, next_opening),
            "{now}"
        );
    }
}

/// Guards against drains spread over many racks, any of which may fail next.
#[tokio::test(start_paused = true)]
async fn a_wave_uses_few_racks() {
    let (bed, mut plan, calendar) = bed_with_plan().await;
    let wave = plan.choose(bed.now, &calendar, &bed.state).unwrap();
    let mut racks: Vec<_> = wave
        .steps
        .iter()
        .map(|step| bed.state.instance(step.instance).rack)
        .collect();
    racks.dedup();
    assert_eq!((wave.steps.len(), racks.len()), (5, 2));
}
