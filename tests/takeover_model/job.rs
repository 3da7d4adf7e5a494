use std::time::Duration;

use coriandernotch::batch::{Record, Spec, Step};
use coriandernotch::jobs::Size;

use crate::random::Random;
use crate::scenario::ELECTED_AFTER;

/// A job that a caller submits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Job {
    pub(crate) at: Duration,
    pub(crate) tasks: u32,
    /// Number of steps, each of which waits for the one before.
    pub(crate) steps: u32,
    /// Time that each task runs, unless it is lasting.
    pub(crate) run_time: Duration,
    /// Whether the tasks run until the job is cancelled, which never happens here.
    pub(crate) lasting: bool,
}

impl Job {
    pub(crate) fn random(random: &mut Random) -> Self {
        Self {
            at: ELECTED_AFTER - Duration::from_secs(2) + random.ms(0..20_000),
            tasks: 1 + random.below(3) as u32,
            steps: random.pick(&[1, 1, 2]),
            run_time: random.ms(100..5_000),
            lasting: false,
        }
    }

    /// Returns a job of short tasks.
    pub(crate) fn random_short(random: &mut Random) -> Self {
        Self {
            at: ELECTED_AFTER + random.ms(0..16_000),
            tasks: 1 + random.below(2) as u32,
            steps: 1,
            run_time: random.ms(100..400),
            lasting: false,
        }
    }

    /// Returns a job of lasting tasks.
    pub(crate) fn lasting(at: Duration, tasks: u32) -> Self {
        Self {
            at,
            tasks,
            steps: 1,
            run_time: Duration::ZERO,
            lasting: true,
        }
    }

    /// Returns the job as it is stored.
    pub(crate) fn record(&self, arrived_ms: u64) -> Record {
        let step = |number: u32| Step {
            count: self.tasks,
            size: Size::new(500, 100, 0),
            estimate_ms: self.run_time.as_millis() as u64,
            after: (0..number).collect(),
            lasting: self.lasting,
            ..Step::default()
        };
        Record {
            route: "q".into(),
            service: "s".into(),
            workspace: "w".into(),
            arrived_ms,
            spec: Spec {
                payload: "x".into(),
                steps: (0..self.steps).map(step).collect(),
                ..Spec::default()
            },
            ..Record::default()
        }
    }
}
