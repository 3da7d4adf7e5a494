//! Load tests with declared run times that are off by 0.2 to 0.9 of themselves, by kind of job.

use coriandernotch::batch::{Record, Step};
use coriandernotch::jobs::Size;

use crate::learning::{job, learning, task_of};
use crate::simulation::Simulation;

/// Real run times of the kinds as thousandths of the declared ones.
const REAL_PER_DECLARED: [u64; 6] = [100, 500, 800, 1_200, 1_500, 1_900];

/// Declared run times within a kind, in milliseconds.
const DECLARED_MS: [u64; 3] = [400, 1_000, 2_200];

/// Number of workers of four processors.
const WORKERS: usize = 6;

/// Duration of a replay in milliseconds.
const DURATION_MS: u64 = 60_000;

/// A stream of numbers that is the same in each replay.
struct Numbers(u64);

impl Numbers {
    fn next(&mut self, below: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (self.0 >> 33) % below
    }
}

/// A job of the replay.
struct Arrival {
    id: String,
    at_ms: u64,
    /// Real time of its longest chain of steps.
    real_ms: u64,
}

/// Draws a job and returns it with its real time.
fn draw(sim: &mut Simulation, numbers: &mut Numbers) -> (Record, u64) {
    let kind = numbers.next(REAL_PER_DECLARED.len() as u64) as usize;
    let declared_ms = DECLARED_MS[numbers.next(DECLARED_MS.len() as u64) as usize];
    let real_ms = declared_ms * REAL_PER_DECLARED[kind] / 1_000;
    let work = format!("{kind}-{declared_ms}");
    sim.run_ms_of.insert(work.as_str().into(), real_ms);
    let step = Step {
        count: 1 + numbers.next(4) as u32,
        size: Size::new(1_000, 100, 0),
        ..task_of(&format!("image-{kind}"), declared_ms)
    };
    let mut record = job(sim, &work, step.clone());
    let has_second_step = numbers.next(3) == 0;
    if has_second_step {
        let second = Step {
            after: vec![0],
            ..step
        };
        record.spec.steps.push(second);
    }
    (record, real_ms * (1 + u64::from(has_second_step)))
}

/// Replays arrivals and returns the number of jobs, and of those within their objective.
///
/// `load_percent` is the work that arrives as a fraction of the capacity. With `bursts`, the work of
/// 20 s arrives within 5 s.
fn replay(learn_estimates: bool, load_percent: u64, bursts: bool, seed: u64) -> (usize, usize) {
    let mut sim = learning(WORKERS, learn_estimates);
    let mut numbers = Numbers(seed);
    let mut arrivals: Vec<Arrival> = Vec::new();
    // Processor milliseconds that may arrive and have not yet.
    let mut credit = 0;
    for tick in 0..DURATION_MS / 10 {
        let in_burst = tick % 2_000 < 500;
        let rate = match (bursts, in_burst) {
            (true, true) => 4,
            (true, false) => 0,
            (false, _) => 1,
        };
        credit += (WORKERS as i64) * 4 * 10 * (load_percent as i64) * rate / 100;
        while credit > 0 {
            let (record, real_ms) = draw(&mut sim, &mut numbers);
            let tasks: u32 = record.spec.steps.iter().map(|step| step.count).sum();
            let steps = record.spec.steps.len() as u64;
            credit -= (u64::from(tasks) * real_ms / steps) as i64;
            let id = format!("j-{}", arrivals.len());
            let at_ms = sim.wall_ms();
            sim.accept(&id, record);
            arrivals.push(Arrival { id, at_ms, real_ms });
        }
        sim.run(10);
    }
    sim.run(60_000);
    let met = arrivals.iter().filter(|arrival| {
        let ended = sim.ended.get(&*arrival.id);
        ended.is_some_and(|(_, at)| at - arrival.at_ms <= arrival.real_ms * 16 / 10 + 600)
    });
    (arrivals.len(), met.count())
}

/// Guards against learned times that serve fewer jobs within their objective than declared ones, and
/// against ones that help little when too much work arrives.
#[test]
fn learned_times_serve_more_jobs_when_it_is_crowded() {
    for (load_percent, bursts) in [
        (60, false),
        (90, false),
        (60, true),
        (130, false),
        (110, true),
    ] {
        let (mut with, mut without, mut jobs) = (0, 0, 0);
        for seed in [1, 2] {
            let (count, met) = replay(true, load_percent, bursts, seed);
            let (_, met_without) = replay(false, load_percent, bursts, seed);
            println!(
                "load {load_percent}%, bursts {bursts}, seed {seed}: {count} jobs, in time \
                 {met_without} without and {met} with learning"
            );
            (with, without, jobs) = (with + met, without + met_without, jobs + count);
        }
        // A job or two in a hundred may fall differently by chance.
        assert!(
            with + jobs / 100 >= without,
            "load {load_percent}%, bursts {bursts}"
        );
        if load_percent > 100 {
            assert!(
                with > without + without / 8,
                "load {load_percent}%, bursts {bursts}"
            );
        }
    }
}
