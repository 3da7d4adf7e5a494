use std::sync::Arc;
use std::time::Duration;

use coriandernotch::batch::{Advice, Question, Step};

use crate::simulation::{Simulation, config, profile, record, step};

/// Response time of the advice service, which is longer than the pause between two questions about
/// one step.
const RESPONSE_MS: u64 = 1_400;

/// Time for which a ticket is valid.
const VALID_FOR: Duration = Duration::from_secs(60);

/// Creates a simulation with `count` workers of a service whose queue requires advice.
fn with_advice(count: usize) -> Simulation {
    let mut config = config();
    config.routes[0].advice = Some(Advice::default());
    let mut sim = Simulation::new(1, config);
    for number in 0..count {
        sim.add(profile(&format!("i-{number}"), "s"));
    }
    sim.run(50);
    sim
}

/// Builds the step of a gang whose tasks run on different workers.
fn spread_gang(count: u32) -> Step {
    Step {
        gang: true,
        max_per_worker: 1,
        ..step(count)
    }
}

/// Answers a question after the response time of the service: of the workers that it names, those in
/// `good` get a ticket.
fn answer(sim: &mut Simulation, question: &Question, good: impl Fn(&str) -> bool) {
    sim.run(RESPONSE_MS);
    let good = question.workers.iter().filter(|id| good(id));
    let good: Vec<(Arc<str>, Arc<str>)> = good.map(|id| (id.clone(), "ticket".into())).collect();
    let until = sim.now + VALID_FOR;
    sim.engine.record_tickets(question, &good, until, sim.now);
    sim.run(10);
}

/// Asks and answers questions until there are none. `good` tells which worker may run which job.
fn advise(sim: &mut Simulation, good: impl Fn(&str, &str) -> bool) -> usize {
    let mut count = 0;
    while let Some(question) = sim.engine.next_question(sim.now) {
        count += 1;
        assert!(count < 100, "questions without end");
        answer(sim, &question, |id| good(&question.task.job, id));
    }
    count
}

/// Guards against asking again and again about a step that no worker may run: its turn came anew
/// before each answer, and no other step of any queue was ever asked about (rule LOST).
#[test]
fn asks_about_a_step_while_no_worker_may_run_another() {
    let mut sim = with_advice(3);
    sim.accept("never", record(vec![step(1)]));
    sim.run(50);
    let never = sim.engine.next_question(sim.now).unwrap();
    for number in 0..3 {
        sim.accept(&format!("j{number}"), record(vec![step(1)]));
    }
    answer(&mut sim, &never, |_| false);
    advise(&mut sim, |job, _| job != "never");
    assert_eq!(sim.starts.len(), 3);
}

/// Guards against the same fault while the service answers no question about one step in time.
#[test]
fn asks_about_a_step_while_another_gets_no_answer() {
    let mut sim = with_advice(3);
    sim.accept("unanswered", record(vec![step(1)]));
    sim.run(50);
    let first = sim.engine.next_question(sim.now).unwrap();
    assert_eq!(&*first.task.job, "unanswered");
    sim.accept("j", record(vec![step(1)]));
    sim.run(RESPONSE_MS);
    let second = sim.engine.next_question(sim.now).unwrap();
    assert_eq!(&*second.task.job, "j");
    sim.run(RESPONSE_MS);
    let third = sim.engine.next_question(sim.now).unwrap();
    assert_eq!(&*third.task.job, "unanswered");
}

/// Guards against a step that waits for the end of its tickets after the workers that may run it
/// are lost, or are full, although others may run it (rule LOST).
#[test]
fn asks_about_other_workers_when_those_with_tickets_have_no_room() {
    for lost in [true, false] {
        let mut sim = with_advice(2);
        sim.run_ms = 60_000;
        sim.accept("j", record(vec![step(6)]));
        sim.run(50);
        let question = sim.engine.next_question(sim.now).unwrap();
        let first = question.workers[0].clone();
        let only_first = Question {
            workers: vec![first.clone()],
            ..question
        };
        answer(&mut sim, &only_first, |_| true);
        assert_eq!(sim.starts.len(), 4, "as many as there is room for");
        if lost {
            sim.workers.get_mut(&first).unwrap().silent = true;
            sim.run(1_000);
        }
        advise(&mut sim, |_, _| true);
        assert_eq!(sim.starts.len(), 6, "lost: {lost}");
    }
}

/// Guards against asking about the freest workers only: a step that others may run was not started
/// in a service with more workers than one question names.
#[test]
fn asks_about_all_workers_in_turn() {
    let mut sim = with_advice(70);
    sim.accept("j", record(vec![step(1)]));
    sim.run(50);
    let first = sim.engine.next_question(sim.now).unwrap();
    let is_named = |number: &usize| first.workers.contains(&format!("i-{number}").into());
    let last = (0..70).rfind(|number| !is_named(number)).unwrap();
    answer(&mut sim, &first, |_| false);
    let last = format!("i-{last}");
    advise(&mut sim, |_, id| id == last);
    assert_eq!(sim.starts.len(), 1);
    assert_eq!(*sim.starts[0].0, *last);
}

/// Guards against asking without end about workers that may not run a step. A worker that joins is
/// asked about at once.
#[test]
fn asks_about_a_worker_that_joins() {
    let mut sim = with_advice(3);
    sim.accept("j", record(vec![step(1)]));
    sim.run(50);
    assert_eq!(advise(&mut sim, |_, _| false), 1);
    sim.add(profile("new", "s"));
    sim.run(600);
    assert_eq!(advise(&mut sim, |_, id| id == "new"), 1);
    assert_eq!(&*sim.starts[0].0, "new");
}

/// Guards against a gang that never starts because workers with tickets have room for some of its
/// tasks: no others were asked about (rule LOST).
#[test]
fn asks_for_a_gang_until_all_of_its_tasks_have_room() {
    let mut sim = with_advice(40);
    sim.accept("j", record(vec![spread_gang(7)]));
    sim.run(50);
    let first = sim.engine.next_question(sim.now).unwrap();
    let known = first.workers[..6].to_vec();
    answer(&mut sim, &first, |id| {
        known.iter().any(|known| &**known == id)
    });
    assert_eq!(sim.starts.len(), 0, "a gang starts as a whole");
    advise(&mut sim, |_, _| true);
    assert_eq!(sim.starts.len(), 7);
}

/// Guards against asking without end about a gang of which no worker may run enough tasks.
#[test]
fn asks_about_a_gang_that_has_no_room_at_long_intervals() {
    let mut sim = with_advice(3);
    sim.accept("j", record(vec![spread_gang(3)]));
    sim.run(50);
    assert_eq!(advise(&mut sim, |_, id| id == "i-0"), 1);
    assert_eq!(sim.starts.len(), 0);
}

/// Guards against asking again about workers whose denials have expired before others were asked about
/// at all: in a large service, a step that only those may run was not started (rule LOST).
#[test]
fn asks_about_all_workers_before_it_asks_again() {
    let mut sim = with_advice(300);
    sim.accept("j", record(vec![step(1)]));
    sim.run(50);
    let mut named: Vec<Arc<str>> = Vec::new();
    for _ in 0..10 {
        let question = sim.engine.next_question(sim.now).unwrap();
        answer(&mut sim, &question, |_| false);
        named.extend(question.workers);
    }
    named.sort();
    named.dedup();
    assert_eq!(named.len(), 300);
}

/// Guards against asking about all workers of a service anew before those that are known to be allowed,
/// after their tickets have expired.
#[test]
fn asks_first_about_workers_that_were_allowed() {
    let mut sim = with_advice(60);
    sim.run_ms = 60_000;
    sim.accept("j", record(vec![step(1)]));
    sim.run(50);
    let denied = sim.engine.next_question(sim.now).unwrap();
    answer(&mut sim, &denied, |_| false);
    let question = sim.engine.next_question(sim.now).unwrap();
    let allowed = question.workers[0].clone();
    // The ticket has expired when the answer arrives.
    sim.run(RESPONSE_MS);
    let good = [(allowed.clone(), "ticket".into())];
    (sim.engine).record_tickets(&question, &good, sim.now, sim.now);
    sim.run(6_000);
    let again = sim.engine.next_question(sim.now).unwrap();
    assert_eq!(again.workers[0], allowed);
}
