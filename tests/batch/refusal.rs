//! Replays of bursts with and without early refusal, on the same arrivals.

use std::sync::Arc;
use std::time::Duration;

use coriandernotch::batch::admission::{
    Arrival, Delay, Gate, Outlook, Publication, Reason, Verdict,
};
use coriandernotch::batch::{Config, Record, Route, Step};
use coriandernotch::clock::Instant;
use coriandernotch::collections::Map;

use crate::pools::machine;
use crate::simulation::{START_MS, Simulation, config, profile, record, route, step};

/// Services of the queues that take turns.
const SERVICES: [&str; 4] = ["s", "t", "u", "v"];

/// Machines of each pool, with 4 processors each, and of the spare pool.
const OWN_MACHINES: usize = 3;
const SPARE_MACHINES: usize = 3;

const MOVE_TIME: Duration = Duration::from_millis(1_500);

/// Time between two renewals of the leader, which carry the outlook, in milliseconds.
const RENEWAL_MS: u64 = 400;

/// Time from a renewal until instances know its outlook.
const FEED_DELAY: Duration = Duration::from_millis(30);

/// Numbers of tasks of the jobs of a queue, in turn. A task takes 0.5 s.
const TASKS: [u32; 8] = [1, 6, 2, 12, 1, 4, 8, 3];

/// Number of times that a caller returns.
const MAX_RETURNS: u32 = 4;

/// Number of replays that are added up.
const VARIANTS: usize = 4;

/// Outcome of a replay, in jobs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Outcome {
    in_time: usize,
    /// After the objective and within three times the objective.
    useful: usize,
    refused: usize,
    /// Ended after three times the objective.
    useless: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Callers {
    /// Every job is accepted.
    NeverRefused,
    /// Refused callers go elsewhere.
    Leave,
    /// Refused callers return when they are asked to.
    Return,
}

/// A job on its way to the system.
struct Submission {
    at: Instant,
    id: String,
    service: &'static str,
    record: Record,
    attempt: u32,
}

struct Replay {
    sim: Simulation,
    callers: Callers,
    config: Config,
    admission: Gate,
    publication: Publication,
    in_flight: Vec<(Instant, Outlook)>,
    moving: Vec<(Instant, Arc<str>, Arc<str>)>,
    joined: usize,
    submissions: Vec<Submission>,
    /// First send in milliseconds since 1970 and objective of each accepted job.
    accepted: Map<Arc<str>, (u64, u64)>,
    outcome: Outcome,
}

fn fleet_config() -> Config {
    let mut config = config();
    config.routes = SERVICES.map(|service| route(service, service)).to_vec();
    config.spare_services.insert("spare".into());
    config
}

impl Replay {
    fn new(callers: Callers) -> Self {
        let mut sim = Simulation::refusing(1, fleet_config());
        let mut machines = Vec::new();
        for number in 0..OWN_MACHINES * SERVICES.len() {
            let service = SERVICES[number % SERVICES.len()];
            sim.add(profile(&format!("i-{number}"), service));
            machines.push(machine(&format!("m-i-{number}"), service));
        }
        machines.extend((0..SPARE_MACHINES).map(|n| machine(&format!("x-{n}"), "spare")));
        sim.engine.set_machines(machines);
        sim.run(100);
        Self {
            publication: Publication::new(sim.now - Duration::from_secs(10)),
            sim,
            callers,
            config: fleet_config(),
            admission: Gate::default(),
            in_flight: Vec::new(),
            moving: Vec::new(),
            joined: 0,
            submissions: Vec::new(),
            accepted: Map::default(),
            outcome: Outcome::default(),
        }
    }

    fn route(&self, service: &str) -> &Route {
        self.config.route_named(service).unwrap()
    }

    /// Submits the jobs of `seconds` seconds, in which each queue in turn asks for `processors` for
    /// 5 s in 20 s and for a twentieth of a fifth of that in between.
    fn add_arrivals(&mut self, processors: f64, seconds: u64, variant: usize) {
        let mean_tasks = f64::from(TASKS.iter().sum::<u32>()) / TASKS.len() as f64;
        let mut due = [0.0; SERVICES.len()];
        let mut number = 0;
        let start = self.sim.now;
        for tick in 0..seconds * 100 {
            for (queue, service) in SERVICES.iter().enumerate() {
                let in_turn = (tick / 500) as usize % SERVICES.len() == queue;
                let fraction = if in_turn { 1.0 } else { 0.01 };
                due[queue] += processors * fraction / (mean_tasks * 0.5) / 100.0;
                if due[queue] < 1.0 {
                    continue;
                }
                due[queue] -= 1.0;
                let at = start + Duration::from_millis(tick * 10);
                let record = self.job(service, TASKS[(number + variant) % TASKS.len()], at);
                self.submissions.push(Submission {
                    at,
                    id: format!("{number:016x}"),
                    service,
                    record,
                    attempt: 1,
                });
                number += 1;
            }
        }
    }

    fn job(&self, service: &str, tasks: u32, at: Instant) -> Record {
        let mut job = record(vec![Step {
            count: tasks,
            ..step(tasks)
        }]);
        (job.route, job.service) = (service.into(), service.into());
        let start = Instant::from_start(Duration::from_secs(1_000));
        job.arrived_ms = START_MS + u64::try_from(at.since(start).as_millis()).unwrap();
        job.terms = self.route(service).terms(&job.spec);
        job
    }

    fn run(mut self, seconds: u64) -> Outcome {
        for tick in 0..seconds * 100 {
            if tick % (RENEWAL_MS / 10) == 0 {
                self.renew();
            }
            let now = self.sim.now;
            for (at, outlook) in self.in_flight.extract_if(.., |(at, _)| *at <= now) {
                self.admission.receive(outlook, at);
            }
            let due: Vec<Submission> = self.submissions.extract_if(.., |s| s.at <= now).collect();
            due.into_iter()
                .for_each(|submission| self.submit(submission));
            self.sim.run(10);
            if tick % 10 == 0 {
                self.move_machines();
            }
        }
        self.count()
    }

    fn store_ms(&self) -> u64 {
        self.sim.now.as_nanos() / 1_000_000
    }

    fn renew(&mut self) {
        self.sim.renew();
        let (now, wall_ms) = (self.sim.now, self.sim.wall_ms());
        let outlook = self.sim.engine.outlook(self.store_ms(), wall_ms, now);
        if self.publication.is_due(&outlook, now) {
            self.publication.record(outlook.clone(), now);
            self.in_flight.push((now + FEED_DELAY, outlook));
        }
    }

    fn submit(&mut self, submission: Submission) {
        let record = &submission.record;
        let arrival = Arrival::new(
            &record.workspace,
            self.sim.wall_ms(),
            &record.spec,
            &record.terms,
        );
        let arrival = arrival.counted_from(record.arrived_ms, self.sim.wall_ms());
        let verdict = match self.callers {
            Callers::NeverRefused => Verdict::Accept(Reason::NoOutlook),
            Callers::Leave | Callers::Return => self.admission.decide(
                &arrival,
                submission.service,
                Some(1),
                Some(self.store_ms()),
                self.sim.now,
            ),
        };
        match verdict {
            Verdict::Accept(_) => {
                let objective_ms = u64::try_from(record.terms.objective.as_millis()).unwrap();
                let times = (record.arrived_ms, objective_ms);
                self.accepted.insert(submission.id.as_str().into(), times);
                self.sim.accept(&submission.id, submission.record);
            }
            Verdict::Refuse { delay, .. }
                if self.callers == Callers::Return && submission.attempt <= MAX_RETURNS =>
            {
                let delay = Delay::new(delay, &submission.id, submission.attempt);
                let pause = Duration::from_secs(delay.seconds().into());
                let mut submission = submission;
                if arrival.is_new_after(arrival.waited + pause) {
                    submission.record.arrived_ms =
                        self.sim.wall_ms() + u64::from(delay.seconds()) * 1_000;
                }
                self.submissions.push(Submission {
                    at: self.sim.now + Duration::from_secs(delay.seconds().into()),
                    attempt: submission.attempt + 1,
                    ..submission
                });
            }
            Verdict::Refuse { .. } => self.outcome.refused += 1,
        }
    }

    fn move_machines(&mut self) {
        let now = self.sim.now;
        for (machine, pool) in self.sim.engine.plan_moves(now) {
            self.sim.engine.record_move(&machine, &pool, now);
            if &*pool != "spare" {
                self.moving.push((now + MOVE_TIME, machine, pool));
            }
        }
        let arrived: Vec<_> = self.moving.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, machine, pool) in arrived {
            self.joined += 1;
            let mut new = profile(&format!("n-{}", self.joined), &pool);
            new.machine = machine;
            self.sim.add(new);
        }
    }

    fn count(mut self) -> Outcome {
        for (id, (arrived_ms, objective_ms)) in &self.accepted {
            let ended_ms = self
                .sim
                .ended
                .get(id)
                .map(|(_, at)| at.saturating_sub(*arrived_ms));
            match ended_ms {
                Some(ms) if ms <= *objective_ms => self.outcome.in_time += 1,
                Some(ms) if ms <= 3 * objective_ms => self.outcome.useful += 1,
                _ => self.outcome.useless += 1,
            }
        }
        self.outcome
    }
}

/// Replays variants that differ in the first job, side by side, and adds up their outcomes: a single
/// one depends on which of two jobs comes first.
fn replay(callers: Callers, processors: f64) -> Outcome {
    let run = move |variant| {
        let mut replay = Replay::new(callers);
        replay.add_arrivals(processors, 60, variant);
        replay.run(100)
    };
    let variants = (0..VARIANTS).map(|variant| std::thread::spawn(move || run(variant)));
    let variants: Vec<_> = variants.collect();
    let outcomes = variants.into_iter().map(|variant| variant.join().unwrap());
    let outcome = outcomes.fold(Outcome::default(), |sum, outcome| Outcome {
        in_time: sum.in_time + outcome.in_time,
        useful: sum.useful + outcome.useful,
        refused: sum.refused + outcome.refused,
        useless: sum.useless + outcome.useless,
    });
    println!("{processors} processors, {callers:?}: {outcome:?}");
    outcome
}

/// Load test with bursts of five times the mean, which is what a pool has. Guards against refusals
/// that cost callers more than they save, and against jobs that run for nothing.
#[test]
fn refusal_serves_more_callers_in_bursts() {
    let pool = (OWN_MACHINES * 4) as f64;
    let without = replay(Callers::NeverRefused, 5.0 * pool);
    let with = replay(Callers::Leave, 5.0 * pool);
    assert!(with.refused > 0, "{with:?}");
    let served = |outcome: &Outcome| outcome.in_time + outcome.useful;
    assert!(with.in_time >= without.in_time, "{with:?} {without:?}");
    assert!(served(&with) >= served(&without), "{with:?} {without:?}");
    assert!(with.useless < without.useless, "{with:?} {without:?}");
}

/// Guards against callers that do as they are told and take the room of others when they return.
#[test]
fn returning_callers_cost_others_nothing() {
    let pool = (OWN_MACHINES * 4) as f64;
    let without = replay(Callers::NeverRefused, 5.0 * pool);
    let with = replay(Callers::Return, 5.0 * pool);
    let served = |outcome: &Outcome| outcome.in_time + outcome.useful;
    assert!(served(&with) >= served(&without), "{with:?} {without:?}");
}

/// Guards against refusals of jobs for which there is room.
#[test]
fn nobody_is_refused_while_there_is_room() {
    let pool = (OWN_MACHINES * 4) as f64;
    for load in [0.5, 1.0, 1.5] {
        let without = replay(Callers::NeverRefused, load * pool);
        let with = replay(Callers::Leave, load * pool);
        assert_eq!(with, without, "load {load}");
        assert_eq!(with.refused, 0);
    }
}
