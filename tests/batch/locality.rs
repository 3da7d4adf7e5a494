//! Waits for room near data or a gang, with an engine.

use std::sync::Arc;
use std::time::Duration;

use coriandernotch::batch::{Advice, Config, Member, Profile, Record, Step};
use coriandernotch::jobs::Size;

use crate::simulation::{Simulation, config, lasting, limited, profile, record, route, step};
use crate::takeover::running_progress;

/// Run time of a far task in percent of that of a near one.
const FAR_PERCENT: u32 = 300;

/// Returns a worker of four processors in a rack.
pub(crate) fn in_rack(id: &str, rack: &str) -> Profile {
    Profile {
        labels: vec!["k".into(), rack.into()],
        ..profile(id, "s")
    }
}

/// Returns a step whose data is in the rack `a`.
fn near_a(count: u32) -> Step {
    Step {
        data_rack: Some("a".into()),
        ..step(count)
    }
}

/// Returns a gang that should share a rack.
fn gang(count: u32) -> Step {
    Step {
        gang: true,
        same_rack: true,
        ..step(count)
    }
}

/// Returns a job that arrives now.
fn arriving(sim: &Simulation, step: Step) -> Record {
    let mut record = record(vec![step]);
    record.arrived_ms = sim.wall_ms();
    record
}

/// Creates two racks of one worker each.
fn two_racks(config: Config, far_percent: u32) -> Simulation {
    let mut sim = Simulation::with_racks(1, config, far_percent, true);
    sim.add(in_rack("near", "a"));
    sim.add(in_rack("other", "b"));
    sim.run(50);
    sim
}

/// Fills the rack `a` with four runs that end 0.5 s after their start, and passes `ms`.
fn fill_a(sim: &mut Simulation, ms: u64) {
    let record = arriving(sim, near_a(4));
    sim.accept("fill", record);
    sim.run(ms);
    assert_eq!(sim.workers["near"].running.len(), 4);
}

/// Returns the worker on which the task of a job was started last.
fn worker_of(sim: &Simulation, job: &str) -> Option<Arc<str>> {
    let starts = sim.starts.iter().rev();
    let mut starts = starts.filter(|(_, task, _)| &*task.job == job);
    starts.next().map(|(worker, ..)| worker.clone())
}

/// Guards against a task that takes three times as long because a near place was full for another
/// 0.2 s.
#[test]
fn a_task_waits_for_room_near_its_data() {
    let mut sim = two_racks(config(), FAR_PERCENT);
    fill_a(&mut sim, 300);
    let record = arriving(&sim, near_a(1));
    sim.accept("j", record);
    sim.run(100);
    assert_eq!(worker_of(&sim, "j"), None);
    sim.run(250);
    assert_eq!(worker_of(&sim, "j").as_deref(), Some("near"));
}

/// Guards against a gang over two racks although a third one has room for it soon.
#[test]
fn a_gang_waits_for_a_rack() {
    let mut sim = two_racks(config(), FAR_PERCENT);
    fill_a(&mut sim, 100);
    sim.run_ms_of.insert("long".into(), 5_000);
    let mut long = arriving(&sim, step(1));
    long.spec.payload = "long".into();
    long.spec.steps[0].estimate_ms = 5_000;
    sim.accept("long", long);
    sim.run(150);
    let mut third = in_rack("third", "c");
    third.capacity = Size::new(3_000, 8_000, 0);
    sim.add(third);
    sim.run(50);
    let record = arriving(&sim, gang(4));
    sim.accept("g", record);
    sim.run(50);
    assert_eq!(worker_of(&sim, "g"), None);
    sim.run(250);
    let starts = (sim.starts.iter()).filter(|(_, task, _)| &*task.job == "g");
    let workers: Vec<&str> = starts.map(|(worker, ..)| &**worker).collect();
    assert_eq!(workers, ["near"; 4]);
}

/// Guards against waits where nothing is known to take longer.
#[test]
fn nothing_waits_with_a_factor_of_1() {
    let mut sim = two_racks(config(), 100);
    fill_a(&mut sim, 300);
    let record = arriving(&sim, near_a(1));
    sim.accept("j", record);
    sim.run(20);
    assert_eq!(worker_of(&sim, "j").as_deref(), Some("other"));
}

/// Guards against a wait for a rack that no longer takes tasks: its worker is being shut down, gets
/// no answers, is out of service or has left.
#[test]
fn a_task_goes_far_at_once_when_the_rack_is_lost() {
    for loss in ["draining", "dark", "data centre", "delisted"] {
        let mut sim = two_racks(config(), FAR_PERCENT);
        let mut near = in_rack("near", "a");
        near.data_centre = "x".into();
        sim.add(near.clone());
        fill_a(&mut sim, 300);
        let record = arriving(&sim, near_a(1));
        sim.accept("j", record);
        sim.run(50);
        assert_eq!(worker_of(&sim, "j"), None, "{loss}");
        match loss {
            "draining" => {
                near.draining = true;
                sim.add(near);
            }
            "dark" => sim.workers.get_mut("near").unwrap().silent = true,
            "data centre" => {
                let out = [Arc::from("x")].into_iter().collect();
                sim.engine.set_excluded_data_centres(out);
            }
            _ => sim.engine.mark_delisted("near"),
        }
        sim.run(50);
        assert_eq!(worker_of(&sim, "j").as_deref(), Some("other"), "{loss}");
    }
}

/// Guards against a wait that holds back tasks which do not want the rack, or that keeps room for
/// itself: a task of higher priority takes the near place that frees.
#[test]
fn a_waiting_task_holds_no_room() {
    let mut settings = config();
    let mut urgent = route("urgent", "s");
    urgent.priority = 0;
    settings.routes[0].priority = 1;
    settings.routes.push(urgent);
    let mut sim = two_racks(settings, FAR_PERCENT);
    fill_a(&mut sim, 300);
    for number in 0..4 {
        let record = arriving(&sim, near_a(1));
        sim.accept(&format!("j-{number}"), record);
    }
    sim.run(20);
    let record = arriving(&sim, step(4));
    sim.accept("elsewhere", record);
    sim.run(20);
    assert_eq!(worker_of(&sim, "elsewhere").as_deref(), Some("other"));
    for number in 0..4 {
        let mut record = arriving(&sim, step(1));
        record.route = "urgent".into();
        sim.accept(&format!("u-{number}"), record);
    }
    sim.run(250);
    for number in 0..4 {
        assert!(worker_of(&sim, &format!("u-{number}")).is_some());
        assert_eq!(worker_of(&sim, &format!("j-{number}")), None);
    }
}

/// Guards against a wait that lets a workspace exceed its quota, and against a task above the quota
/// that counts as one that will take a near place: the task of another workspace went far for it.
#[test]
fn a_task_above_the_quota_does_not_count() {
    let mut settings = limited(Size::new(1_000, 0, 0));
    // With a small weight, its tasks are ranked after those of the other workspace.
    settings.workspaces.get_mut("w").unwrap().weight = 1_000;
    let mut sim = two_racks(settings, FAR_PERCENT);
    let mut fill = arriving(&sim, near_a(4));
    fill.workspace = "another".into();
    sim.accept("fill", fill);
    sim.run(100);
    sim.run_ms_of.insert("long".into(), 5_000);
    let mut long = arriving(&sim, step(1));
    long.spec.payload = "long".into();
    long.spec.steps[0].estimate_ms = 5_000;
    sim.accept("long", long);
    sim.run(200);
    for number in 0..12 {
        let record = arriving(&sim, near_a(1));
        sim.accept(&format!("j-{number}"), record);
    }
    let mut other = arriving(&sim, near_a(1));
    other.workspace = "another".into();
    sim.accept("other", other);
    sim.run(50);
    assert_eq!(worker_of(&sim, "other"), None);
    sim.run(250);
    assert_eq!(worker_of(&sim, "other").as_deref(), Some("near"));
    assert_eq!(worker_of(&sim, "j-0"), None);
}

/// Guards against a queue with advice whose tasks wait for a worker that gets no ticket.
#[test]
fn a_task_that_needs_a_ticket_does_not_wait() {
    let mut settings = config();
    let mut advised = route("advised", "s");
    advised.advice = Some(Advice::default());
    settings.routes.push(advised);
    let mut sim = two_racks(settings, FAR_PERCENT);
    fill_a(&mut sim, 300);
    let mut record = arriving(&sim, near_a(1));
    record.route = "advised".into();
    sim.accept("j", record);
    sim.run(20);
    let question = sim.engine.next_question(sim.now).unwrap();
    let tickets = ["near", "other"].map(|id| (id.into(), "ticket".into()));
    let until = sim.now + Duration::from_secs(5);
    sim.engine
        .record_tickets(&question, &tickets, until, sim.now);
    sim.run(20);
    assert_eq!(worker_of(&sim, "j").as_deref(), Some("other"));
}

/// Guards against a retry that waits for the rack in which its task has just failed.
#[test]
fn a_retry_does_not_wait() {
    let mut sim = two_racks(config(), FAR_PERCENT);
    sim.workers.get_mut("near").unwrap().fails = true;
    let record = arriving(&sim, near_a(1));
    sim.accept("j", record);
    sim.run(60);
    sim.workers.get_mut("near").unwrap().fails = false;
    let record = arriving(&sim, near_a(4));
    sim.accept("fill", record);
    sim.run(60);
    assert_eq!(worker_of(&sim, "j").as_deref(), Some("other"));
}

/// Guards against a wait that begins anew with each leader: the runs on the near rack end later than
/// expected, and the task must not wait longer than the near place is worth, counted from its arrival.
#[test]
fn a_new_leader_does_not_begin_the_wait_anew() {
    for (waited_ms, goes_far) in [(0, false), (900, true)] {
        let mut old = two_racks(config(), FAR_PERCENT);
        old.run_ms = 10_000;
        let mut fill = arriving(&old, near_a(4));
        fill.spec.steps[0].estimate_ms = 600;
        old.accept("fill", fill.clone());
        old.run(20);
        let mut job = arriving(&old, near_a(1));
        job.arrived_ms -= waited_ms;
        let mut sim = Simulation::with_racks(2, config(), FAR_PERCENT, true);
        (sim.now, sim.workers) = (old.now, old.workers.clone());
        let (now, wall_ms) = (sim.now, sim.wall_ms());
        let progress = Some(running_progress());
        (sim.engine).load_job(&"fill".into(), fill, progress, wall_ms, now);
        sim.engine.load_job(&"j".into(), job, None, wall_ms, now);
        let profiles = [in_rack("near", "a"), in_rack("other", "b")];
        let members = profiles.iter().map(Member::from).collect();
        profiles.into_iter().for_each(|profile| sim.add(profile));
        sim.engine.restore_members(members);
        sim.engine.inherit(&[], false, now);
        sim.run(200);
        assert_eq!(worker_of(&sim, "j").is_some(), goes_far, "{waited_ms} ms");
    }
}

/// Guards against a later step whose wait counts from the arrival of its job: it went far although
/// room near was free soon after the step before.
#[test]
fn the_wait_of_a_later_step_counts_from_the_end_of_the_step_before() {
    let mut sim = two_racks(config(), FAR_PERCENT);
    sim.run_ms_of.insert("long".into(), 2_000);
    let first = Step {
        label: Some("b".into()),
        estimate_ms: 2_000,
        ..step(1)
    };
    let second = Step {
        after: vec![0],
        ..near_a(1)
    };
    let mut job = arriving(&sim, first);
    job.spec.payload = "long".into();
    job.spec.steps.push(second);
    sim.accept("j", job);
    sim.run(1_700);
    fill_a(&mut sim, 100);
    sim.run(250);
    assert_eq!(sim.starts_of("j", 1, 0), 0);
    sim.run(200);
    assert_eq!(sim.starts_of("j", 1, 0), 1);
    assert_eq!(worker_of(&sim, "j").as_deref(), Some("near"));
}

/// Guards against a lasting task that does not run although there is room.
#[test]
fn a_lasting_task_does_not_wait() {
    let mut sim = two_racks(config(), FAR_PERCENT);
    fill_a(&mut sim, 300);
    let mut job = lasting(1);
    job.arrived_ms = sim.wall_ms();
    job.spec.steps[0].data_rack = Some("a".into());
    job.spec.steps[0].estimate_ms = 60_000;
    sim.accept("j", job);
    sim.run(20);
    assert_eq!(worker_of(&sim, "j").as_deref(), Some("other"));
}

/// Guards against a wait for runs that are far from their own data as if they were to end soon.
#[test]
fn far_runs_are_expected_to_take_longer() {
    let mut sim = two_racks(config(), FAR_PERCENT);
    let far = Step {
        label: Some("a".into()),
        data_rack: Some("z".into()),
        ..step(4)
    };
    sim.racks.insert("far".into(), "z".into());
    let mut fill = arriving(&sim, far);
    fill.spec.payload = "far".into();
    sim.accept("fill", fill);
    sim.run(600);
    let record = arriving(&sim, near_a(1));
    sim.accept("j", record);
    sim.run(20);
    assert_eq!(worker_of(&sim, "j").as_deref(), Some("other"));
}

/// Guards against tasks that all wait for the same few places.
#[test]
fn only_as_many_tasks_wait_as_the_rack_has_places() {
    let mut sim = two_racks(config(), FAR_PERCENT);
    fill_a(&mut sim, 300);
    for number in 0..8 {
        let record = arriving(&sim, near_a(1));
        sim.accept(&format!("j-{number}"), record);
    }
    sim.run(20);
    assert_eq!(sim.workers["other"].running.len(), 4);
    sim.run(250);
    assert_eq!(sim.workers["near"].running.len(), 4);
}

/// Guards against a wait for a rack whose workers are too small for the task or the gang, although
/// their runs free enough processors in all.
#[test]
fn nothing_waits_for_a_rack_of_small_workers() {
    for (count, processors) in [(1, 5_000), (3, 2_500)] {
        let mut sim = two_racks(config(), FAR_PERCENT);
        sim.add(in_rack("near-2", "a"));
        sim.run(50);
        let fill = Step {
            label: Some("a".into()),
            ..step(8)
        };
        let record = arriving(&sim, fill);
        sim.accept("fill", record);
        sim.run(300);
        let mut large = in_rack("large", "c");
        large.capacity = Size::new(5_000, 8_000, 0);
        sim.add(large);
        sim.run(20);
        let wanted = if count == 1 { near_a(1) } else { gang(count) };
        let size = Size::new(processors, 100, 0);
        let record = arriving(&sim, Step { size, ..wanted });
        sim.accept("j", record);
        sim.run(20);
        assert!(worker_of(&sim, "j").is_some(), "{count} tasks");
    }
}
