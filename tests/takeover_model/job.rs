use std::time::Duration;

use coriandernotch::batch::{Record, Spec, Step};
use coriandernotch::jobs::Size;

use crate::kind::Kind;
use crate::random::Random;
use crate::scenario::ELECTED_AFTER;

/// Number of occurrences of a scheduled job, and the time between two of them in milliseconds.
const OCCURRENCES: u32 = 2;
const INTERVAL_MS: u64 = 700;

/// A job that a caller submits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Job {
    pub(crate) at: Duration,
    pub(crate) tasks: u32,
    /// Number of steps, each of which waits for the one before.
    pub(crate) steps: u32,
    /// Time that each task runs, unless it is lasting. A slow run of one that may be copied takes
    /// longer.
    pub(crate) run_time: Duration,
    pub(crate) kind: Kind,
}

impl Job {
    pub(crate) fn random(random: &mut Random) -> Self {
        Self {
            at: ELECTED_AFTER - Duration::from_secs(2) + random.ms(0..20_000),
            tasks: 1 + random.below(3) as u32,
            steps: random.pick(&[1, 1, 2]),
            run_time: random.ms(100..5_000),
            kind: Kind::Plain,
        }
    }

    /// Returns a job of short tasks.
    pub(crate) fn random_short(random: &mut Random) -> Self {
        Self {
            at: ELECTED_AFTER + random.ms(0..16_000),
            tasks: 1 + random.below(2) as u32,
            steps: 1,
            run_time: random.ms(100..400),
            kind: Kind::Plain,
        }
    }

    /// Returns a job whose tasks are due at scheduled times, and are copied or run together.
    pub(crate) fn random_scheduled(random: &mut Random) -> Self {
        Self {
            run_time: random.ms(200..900),
            kind: random.pick(&[Kind::Copied, Kind::Gang]),
            ..Self::random(random)
        }
    }

    /// Returns a job of lasting tasks.
    pub(crate) fn lasting(at: Duration, tasks: u32) -> Self {
        Self {
            at,
            tasks,
            steps: 1,
            run_time: Duration::ZERO,
            kind: Kind::Lasting,
        }
    }

    /// Returns the job as it is stored.
    pub(crate) fn record(&self, arrived_ms: u64) -> Record {
        let step = |number: u32| Step {
            count: self.tasks,
            size: Size::new(500, 100, 0),
            estimate_ms: self.run_time.as_millis() as u64,
            after: (0..number).collect(),
            lasting: self.kind == Kind::Lasting,
            speculative: self.kind == Kind::Copied,
            gang: self.kind == Kind::Gang,
            ..Step::default()
        };
        Record {
            route: "q".into(),
            service: "s".into(),
            workspace: "w".into(),
            arrived_ms,
            spec: Spec {
                occurrences: if self.kind.is_scheduled() {
                    OCCURRENCES
                } else {
                    0
                },
                first_ms: arrived_ms,
                interval_ms: INTERVAL_MS,
                payload: "x".into(),
                steps: (0..self.steps).map(step).collect(),
            },
            ..Record::default()
        }
    }
}
