//! Load tests with tasks that take longer away from their data or their gang, with and without waits
//! for room near.

use coriandernotch::batch::Step;

use crate::locality::in_rack;
use crate::simulation::{Simulation, config, record, step};

/// Racks of two workers of four processors.
const RACKS: [&str; 3] = ["a", "b", "c"];

/// Declared run times in milliseconds; the real ones are between half and one and a half times that.
const DECLARED_MS: [u64; 3] = [300, 700, 1_500];

/// Duration of the arrivals in milliseconds.
const DURATION_MS: u64 = 40_000;

/// Run times of far tasks in percent of those of near ones, and work in percent of what all
/// processors can do near.
const CASES: [(u32, u64); 3] = [(150, 60), (150, 80), (300, 60)];

/// What arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Load {
    /// Two thirds of the tasks want the first rack.
    OneRack,
    /// Like `OneRack`, and that rack does not answer for a while.
    DarkRack,
    /// Each rack is wanted as often as the others.
    AllRacks,
    /// A third of the jobs are gangs of four that should share a rack; the rest wants none.
    Gangs,
}

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

/// Result of a replay.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    jobs: usize,
    in_time: usize,
    /// Sum of all run times.
    work_ms: u64,
}

impl std::ops::AddAssign for Outcome {
    fn add_assign(&mut self, other: Self) {
        self.jobs += other.jobs;
        self.in_time += other.in_time;
        self.work_ms += other.work_ms;
    }
}

/// Draws the step of a job and returns it with the rack that it wants.
fn draw(load: Load, numbers: &mut Numbers) -> (Step, Option<&'static str>) {
    let estimate_ms = DECLARED_MS[numbers.next(DECLARED_MS.len() as u64) as usize];
    let of_first = numbers.next(3) < 2;
    let one_of_three = numbers.next(3) as usize;
    let step = Step {
        estimate_ms,
        ..step(1 + numbers.next(3) as u32)
    };
    if load == Load::Gangs {
        if one_of_three > 0 {
            return (step, None);
        }
        let gang = Step {
            count: 4,
            gang: true,
            same_rack: true,
            ..step
        };
        return (gang, Some("gang"));
    }
    let rack = match load {
        Load::AllRacks => RACKS[one_of_three],
        _ if of_first => RACKS[0],
        _ => RACKS[one_of_three],
    };
    let data_rack = Some(rack.into());
    (Step { data_rack, ..step }, Some(rack))
}

/// Replays arrivals whose work near takes `load_percent` of all processors.
fn replay(load: Load, load_percent: u64, far_percent: u32, waits: bool, seed: u64) -> Outcome {
    let mut sim = Simulation::with_racks(1, config(), far_percent, waits);
    let mut numbers = Numbers(seed);
    for rack in RACKS {
        (0..2).for_each(|number| sim.add(in_rack(&format!("{rack}-{number}"), rack)));
    }
    sim.run(50);
    let mut arrivals: Vec<(String, u64)> = Vec::new();
    let mut credit = 0;
    for tick in 0..DURATION_MS / 10 {
        credit += RACKS.len() as i64 * 8 * 10 * load_percent as i64 / 100;
        while credit > 0 {
            let (step, rack) = draw(load, &mut numbers);
            let real_ms = step.estimate_ms * (50 + numbers.next(100)) / 100;
            let work = format!("{}-{real_ms}", rack.unwrap_or_default());
            sim.run_ms_of.insert(work.as_str().into(), real_ms);
            if let Some(rack) = rack {
                sim.racks.insert(work.as_str().into(), rack.into());
            }
            credit -= i64::from(step.count) * real_ms as i64;
            let due_ms = sim.wall_ms() + step.estimate_ms * 16 / 10 + 600;
            let mut record = record(vec![step]);
            record.spec.payload = work.into();
            record.arrived_ms = sim.wall_ms();
            let id = format!("j-{}", arrivals.len());
            sim.accept(&id, record);
            arrivals.push((id, due_ms));
        }
        if load == Load::DarkRack {
            let dark = (1_000..1_800).contains(&tick);
            for worker in ["a-0", "a-1"] {
                sim.workers.get_mut(worker).unwrap().silent = dark;
            }
        }
        sim.run(10);
    }
    sim.run(40_000);
    let is_in_time = |(id, due_ms): &&(String, u64)| {
        let ended = sim.ended.get(&**id);
        ended.is_some_and(|(_, at)| at <= due_ms)
    };
    Outcome {
        jobs: arrivals.len(),
        in_time: arrivals.iter().filter(is_in_time).count(),
        work_ms: sim.work_ms,
    }
}

/// Guards against waits that serve fewer jobs within their objective than none, and against ones that
/// help nothing when many jobs want one rack.
#[test]
fn waits_for_near_places_pay_when_many_jobs_want_one_rack() {
    for load in [Load::OneRack, Load::DarkRack, Load::AllRacks, Load::Gangs] {
        let (mut all_with, mut all_without) = (Outcome::default(), Outcome::default());
        for (far_percent, load_percent) in CASES {
            let (mut with, mut without) = (Outcome::default(), Outcome::default());
            for seed in [1, 2] {
                with += replay(load, load_percent, far_percent, true, seed);
                without += replay(load, load_percent, far_percent, false, seed);
            }
            println!(
                "{load:?}, factor {far_percent}%, load {load_percent}%: {} jobs, in time {} \
                 without and {} with waits, work {} and {} s",
                with.jobs,
                without.in_time,
                with.in_time,
                without.work_ms / 1_000,
                with.work_ms / 1_000,
            );
            // A job or two in a hundred may fall differently by chance.
            assert!(
                with.in_time + with.jobs / 100 >= without.in_time,
                "{load:?}, factor {far_percent}%, load {load_percent}%"
            );
            all_with += with;
            all_without += without;
        }
        if load == Load::OneRack {
            assert!(all_with.in_time > all_without.in_time);
            assert!(all_with.work_ms < all_without.work_ms);
        }
    }
}
