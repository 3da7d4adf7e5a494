//! Maintenance plans over failures, crashes, pauses and windows.

mod bed;

use std::time::Duration;

use bed::{Bed, UNIX, pool};
use coriandernotch::clock::Instant;
use coriandernotch::fleet;
use coriandernotch::plans::{
    Calendar, Health, Plan, RECOVERY, Record, Status, Wait, Window, command,
};
use coriandernotch::pools::{DRAIN_LIMIT, Operation, Outcome, Phase, RETURN_LIMIT};
use coriandernotch::standin::{Fault, Kind};

const MINUTE: Duration = Duration::from_secs(60);

fn plan(bed: &Bed, start: u32, hours: u32) -> Plan {
    let plan = serde_json::json!({"name": "reboots", "pool": "a", "period-days": 21,
        "window-start-hour": start, "window-hours": hours});
    let plan: fleet::Plan = serde_json::from_value(plan).unwrap();
    Plan::new(&plan, bed.pool("a"))
}

/// A pool of sixteen in racks of four, of which five may be out, and a spare pool.
async fn beds() -> (Bed, Plan, Calendar) {
    let mut bed = Bed::new(&[pool("a", 16, 5, 4), pool("spare", 8, 1, 0)]);
    bed.found().await;
    let plan = plan(&bed, 0, 24);
    let calendar = bed.calendar;
    (bed, plan, calendar)
}

/// Restarts of each instance of the pool.
fn restarts(bed: &Bed) -> Vec<u64> {
    let all = bed.sights.iter().filter(|(name, _)| name.starts_with('a'));
    all.map(|(_, sight)| sight.incarnation - 1).collect()
}

fn out(bed: &Bed) -> u32 {
    bed.state.unavailable(bed.pool("a")).0
}

fn is_done(bed: &Bed, plan: &Plan, calendar: &Calendar) -> bool {
    let progress = plan.progress(bed.now, calendar, &bed.state);
    progress.done == progress.total
}

/// Guards against instances that are rebooted twice or never after faults of the store or a
/// change of the manager at any turn.
#[tokio::test(start_paused = true)]
async fn every_instance_is_rebooted_once_whatever_happens_to_managers() {
    let cases: [(&str, Option<Fault>, usize); 5] = [
        ("nothing", None, usize::MAX),
        ("answers lost", Some(Fault::Lose), usize::MAX),
        ("requests lost", Some(Fault::Drop), usize::MAX),
        ("requests refused", Some(Fault::Refuse), usize::MAX),
        ("a new manager every turn", None, 1),
    ];
    for (name, fault, tenure) in cases {
        let (mut bed, mut first, calendar) = beds().await;
        for turn in 1..100 {
            if let Some(fault) = fault {
                let faults = [fault, Fault::Pass, fault];
                bed.store.faults().inject(Kind::Write, faults);
            }
            bed.turn(&mut first, &calendar).await;
            assert!(out(&bed) <= 5, "{name} turn {turn}");
            bed.check_rows(name);
            bed.now = bed.now + MINUTE;
            if turn % tenure == 0 {
                bed.replace_manager().await;
                first = plan(&bed, 0, 24);
                let row = bed.store.row(&Record::key("reboots"));
                first.record = Record::read(row.as_ref()).unwrap();
            }
            if is_done(&bed, &first, &calendar) {
                break;
            }
        }
        assert_eq!(restarts(&bed), [1; 16], "{name}");
        bed.turn(&mut first, &calendar).await;
        assert_eq!(out(&bed), 0, "{name}");
        let wait = first.progress(bed.now, &calendar, &bed.state).wait;
        assert_eq!(wait, Some(Wait::Done), "{name}");
    }
}

/// Guards against waves that go on while failures have used up the budget, and against plans that
/// do not go on by themselves afterwards.
#[tokio::test(start_paused = true)]
async fn a_plan_yields_to_failures_and_goes_on_after_them() {
    type Act = fn(&mut Bed);
    // What fails, how many of the pool that are, and how many drains the budget still bears.
    let cases: [(&str, Act, u32, usize); 2] = [
        ("rack lost", |bed| bed.fail_rack("a-8"), 4, 1),
        (
            "data centre out",
            |bed| bed.set_data_centre("y", false),
            8,
            0,
        ),
    ];
    for (name, act, failed, most) in cases {
        let (mut bed, mut plan, calendar) = beds().await;
        for sight in bed.sights.values_mut() {
            sight.running = 1;
        }
        bed.turn(&mut plan, &calendar).await;
        assert_eq!(out(&bed), 5, "{name}");
        act(&mut bed);
        bed.run().await;
        bed.run().await;
        assert_eq!(plan_draining(&bed), 0, "{name}: drains taken back");
        assert_eq!(out(&bed), failed, "{name}: only what failed is out");
        for _ in 0..5 {
            bed.turn(&mut plan, &calendar).await;
            assert!(plan_draining(&bed) <= most, "{name}");
            bed.now = bed.now + MINUTE;
        }
        let wait = plan.progress(bed.now, &calendar, &bed.state).wait;
        assert!(matches!(wait, Some(Wait::Budget(_))), "{name}: {wait:?}");
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

fn plan_draining(bed: &Bed) -> usize {
    let all = bed.state.instances();
    all.filter(|(_, i)| i.phase == Phase::Draining).count()
}

/// Guards against one instance that stops the maintenance of all others.
#[tokio::test(start_paused = true)]
async fn stuck_instances_do_not_stop_the_others() {
    let (mut bed, mut plan, calendar) = beds().await;
    bed.truth("a-3").running = 1;
    for _ in 0..40 {
        bed.turn(&mut plan, &calendar).await;
        bed.now = bed.now + MINUTE;
    }
    let stuck = restarts(&bed).iter().filter(|n| **n == 0).count();
    assert_eq!(stuck, 1);
    assert!(bed.now.since(Instant::default()) > DRAIN_LIMIT);
    assert_eq!(out(&bed), 0, "the drain was taken back");
    bed.truth("a-3").running = 0;
    for _ in 0..70 {
        bed.turn(&mut plan, &calendar).await;
        bed.now = bed.now + MINUTE;
    }
    assert_eq!(restarts(&bed), [1; 16], "it was tried again");
}

/// Guards against a failed reboot that is forgotten by the budget or that stops the plan.
#[tokio::test(start_paused = true)]
async fn an_instance_that_does_not_come_back_stays_counted() {
    let (mut bed, mut plan, calendar) = beds().await;
    bed.turn(&mut plan, &calendar).await;
    bed.run().await;
    let rebooting = bed
        .state
        .instances()
        .find(|(_, i)| i.phase == Phase::Rebooting);
    let name = rebooting.unwrap().1.name.to_string();
    bed.truth(&name).live = false;
    let turns = RETURN_LIMIT.as_secs() / 60 + 30;
    for _ in 0..turns {
        bed.turn(&mut plan, &calendar).await;
        assert!(out(&bed) <= 5);
        bed.now = bed.now + MINUTE;
    }
    let progress = plan.progress(bed.now, &calendar, &bed.state);
    assert_eq!((progress.done, progress.down), (15, 1));
    assert_eq!(out(&bed), 1);
}

/// Guards against a wave that starts after the pause of the plan was accepted.
#[tokio::test(start_paused = true)]
async fn no_wave_starts_after_an_accepted_pause() {
    let (mut bed, mut plan, calendar) = beds().await;
    let wave = plan.choose(bed.now, &calendar, &bed.state).unwrap();
    let table = bed.store.client("operator");
    bed.store.faults().inject(Kind::Write, [Fault::Lose]);
    let paused = command(&table, "reboots", Status::Paused, "ana", Operation(1));
    let paused = paused.await.unwrap();
    assert_eq!(paused.status, Status::Paused);
    // This manager has not read the row since.
    assert_eq!(bed.start(&mut plan, &wave).await, Outcome::Conflict);
    plan.record = paused;
    let wait = plan.choose(bed.now, &calendar, &bed.state);
    assert_eq!(wait, Err(Wait::Paused));
    let go_on = command(&table, "reboots", Status::Running, "ana", Operation(2));
    plan.record = go_on.await.unwrap();
    assert!(plan.choose(bed.now, &calendar, &bed.state).is_ok());
    let end = command(&table, "reboots", Status::Withdrawn, "ana", Operation(3));
    end.await.unwrap();
    let late = command(&table, "reboots", Status::Running, "bo", Operation(4));
    plan.record = late.await.unwrap();
    let wait = plan.choose(bed.now, &calendar, &bed.state);
    assert_eq!(wait, Err(Wait::Withdrawn));
}

/// Guards against drains that go on under a plan that was stopped or out of its window.
#[tokio::test(start_paused = true)]
async fn a_stopped_plan_takes_its_drains_back() {
    type Act = fn(&mut Bed, &mut Plan);
    let cases: [(&str, Act, Option<Wait>); 3] = [
        (
            "paused",
            |_, plan| plan.record.status = Status::Paused,
            Some(Wait::Paused),
        ),
        (
            "unhealthy",
            |bed, plan| plan.health.observe(bed.now, 1000, 100),
            Some(Wait::Health),
        ),
        (
            "window closed",
            |bed, _| bed.now = bed.now + Duration::from_secs(4 * 3600),
            Some(Wait::Window {
                opens: UNIX + 86_400,
            }),
        ),
    ];
    for (name, act, wait) in cases {
        let (mut bed, _, calendar) = beds().await;
        let mut plan = plan(&bed, 0, 4);
        for sight in bed.sights.values_mut() {
            sight.running = 1;
        }
        bed.turn(&mut plan, &calendar).await;
        assert_eq!(plan_draining(&bed), 5, "{name}");
        act(&mut bed, &mut plan);
        bed.turn(&mut plan, &calendar).await;
        assert_eq!(out(&bed), 0, "{name}");
        let progress = plan.progress(bed.now, &calendar, &bed.state);
        assert_eq!(progress.wait, wait, "{name}");
    }
}

/// Guards against a start that cannot end within the window.
#[tokio::test(start_paused = true)]
async fn nothing_starts_shortly_before_the_window_closes() {
    let (mut bed, _, calendar) = beds().await;
    let mut plan = plan(&bed, 0, 4);
    bed.now = bed.now + Duration::from_secs(4 * 3600 - 300);
    let opens = UNIX + 86_400;
    let wait = plan.choose(bed.now, &calendar, &bed.state);
    assert_eq!(wait, Err(Wait::Window { opens }));
}

/// Guards against a plan that flaps with a failure share near its threshold.
#[test]
fn health_returns_only_after_a_quiet_time() {
    let mut health = Health::default();
    let at = |seconds| Instant::default() + Duration::from_secs(seconds);
    health.observe(at(0), 10, 10);
    assert!(health.is_good(), "too few calls to tell");
    health.observe(at(1), 1000, 60);
    assert!(!health.is_good());
    health.observe(at(200), 1000, 30);
    health.observe(at(1 + RECOVERY.as_secs()), 1000, 0);
    assert!(!health.is_good(), "failures were seen since");
    health.observe(at(200 + RECOVERY.as_secs()), 1000, 0);
    assert!(health.is_good());
}

/// Guards against windows over midnight that open or close on the wrong day.
#[test]
fn windows_open_and_close_on_time() {
    const HOUR: u64 = 3600;
    let cases = [
        // start, hours, now, left, opens
        (0, 24, 5, u64::MAX, 5),
        (4, 6, 3 * HOUR, 0, 4 * HOUR),
        (4, 6, 4 * HOUR, 6 * HOUR, 4 * HOUR),
        (4, 6, 10 * HOUR, 0, 28 * HOUR),
        (22, 4, 25 * HOUR, HOUR, 25 * HOUR),
        (22, 4, 26 * HOUR, 0, 46 * HOUR),
    ];
    for (start, hours, now, left, opens) in cases {
        let window = Window::new(start, hours);
        assert_eq!(
            (window.left(now), window.opens(now)),
            (left, opens),
            "{now}"
        );
    }
}

/// Guards against drains spread over racks, each of which may fail next.
#[tokio::test(start_paused = true)]
async fn a_wave_stays_within_few_racks() {
    let (bed, mut plan, calendar) = beds().await;
    let wave = plan.choose(bed.now, &calendar, &bed.state).unwrap();
    let mut racks: Vec<_> = wave
        .steps
        .iter()
        .map(|step| bed.state.instance(step.instance).rack)
        .collect();
    racks.dedup();
    assert_eq!((wave.steps.len(), racks.len()), (5, 2));
}
