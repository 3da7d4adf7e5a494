use std::time::Duration;

use coriandernotch::batch::Tuning;

use crate::action::Action;
use crate::incident::{INCIDENTS, Incident};
use crate::job::Job;
use crate::kind::Kind;
use crate::random::Random;

/// Number of failures of a task after which its job fails.
pub(crate) const MAX_ATTEMPTS: u32 = 3;

/// Time from the start of a scenario until the first leader has been elected.
pub(crate) const ELECTED_AFTER: Duration = Duration::from_secs(4);

/// Times for which jobs stay in the store: longer than a simulation, and so short that jobs are
/// deleted in it. The short one is longer than the delays of late calls.
const LONG_RETENTION: Duration = Duration::from_secs(600);
pub(crate) const SHORT_RETENTION: Duration = Duration::from_secs(6);

/// Number of jobs beside those of lasting tasks, so small that workers have room.
const MAX_OTHER_JOBS: usize = 4;

/// Number of short jobs, of which some have tasks that end at any time.
const MANY_JOBS: usize = 80;

/// Time between two periods in which the store is slow.
const SLOW_INTERVAL: Duration = Duration::from_secs(5);

/// Distinguishes the random numbers for lasting tasks from those of the other faults.
const LASTING_SALT: u64 = 0x1a57;

/// Distinguishes the random numbers for transfers of the lead.
const TRANSFER_SALT: u64 = 0x7a5f;

/// Distinguishes the random numbers for silent workers.
const SILENT_SALT: u64 = 0x51e7;

/// Distinguishes the random numbers for a store that is slow while leaders resign.
const SLOW_SALT: u64 = 0x510e;

/// Distinguishes the random numbers for scheduled jobs.
const SCHEDULED_SALT: u64 = 0x5c4e;

/// Sizes of the lists that leaders leave, in bytes: all workers with their tasks, some without them,
/// and none that the successor knows otherwise.
const SILENT_LIST_BYTES: [usize; 3] = [150_000, 700, 0];

/// Returns a duration of whole milliseconds.
pub(crate) const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// What happens in one simulation.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) seed: u64,
    pub(crate) instances: usize,
    pub(crate) workers: usize,
    pub(crate) jobs: Vec<Job>,
    /// Share of runs that fail.
    pub(crate) failing_percent: u64,
    /// Time for which jobs stay in the store after their end.
    pub(crate) retention: Duration,
    /// Largest size of the lists of workers that leaders leave for their successors, in bytes.
    pub(crate) silent_list_bytes: usize,
    /// Actions and their times.
    pub(crate) actions: Vec<(Duration, Action)>,
    /// Actions that take place just before the step with a number, counted from the submission of
    /// the first job.
    pub(crate) interruptions: Vec<(u64, Action)>,
}

impl Scenario {
    /// Creates a scenario of one job without any fault.
    pub(crate) fn quiet(tasks: u32) -> Self {
        let job = Job {
            at: ELECTED_AFTER,
            tasks,
            steps: 1,
            run_time: Duration::from_millis(600),
            kind: Kind::Plain,
        };
        Self {
            seed: 1,
            instances: 2,
            workers: 2,
            jobs: vec![job],
            failing_percent: 0,
            retention: LONG_RETENTION,
            silent_list_bytes: Tuning::default().silent_list_bytes,
            actions: Vec::new(),
            interruptions: Vec::new(),
        }
    }

    /// Creates the random scenario of a seed: a few incidents in which faults coincide.
    pub(crate) fn random(seed: u64) -> Self {
        let mut random = Random::new(seed);
        let instances = 2 + random.index(3);
        let workers = 2 + random.index(3);
        let jobs = (0..5 + random.index(10)).map(|_| Job::random(&mut random));
        let mut scenario = Self {
            seed,
            instances,
            workers,
            jobs: jobs.collect(),
            failing_percent: random.pick(&[0, 0, 10, 40]),
            retention: random.pick(&[LONG_RETENTION, SHORT_RETENTION]),
            silent_list_bytes: Tuning::default().silent_list_bytes,
            actions: Vec::new(),
            interruptions: Vec::new(),
        };
        for _ in 0..1 + random.index(2) {
            let begin = ELECTED_AFTER + random.ms(0..10_000);
            let incident = random.pick(&INCIDENTS);
            let actions = incident.actions(workers, &mut random);
            let actions = actions.into_iter().map(|(at, action)| (begin + at, action));
            scenario.actions.extend(actions);
        }
        for _ in 0..random.pick(&[0, 4, 40]) {
            let at = ELECTED_AFTER + random.ms(0..30_000);
            scenario.actions.push((at, Action::DiscardHistory));
        }
        scenario
    }

    /// Creates the random scenario of a seed in which leaders also make way for other instances,
    /// often in a series.
    pub(crate) fn random_transfers(seed: u64) -> Self {
        let mut random = Random::new(seed ^ TRANSFER_SALT);
        let mut scenario = Self::random(seed);
        for _ in 0..1 + random.index(4) {
            let at = ELECTED_AFTER + random.ms(0..14_000);
            for _ in 0..1 + random.index(3) {
                let at = at + random.ms(0..1_500);
                scenario.actions.push((at, Action::Transfer));
            }
        }
        scenario
    }

    /// Creates the random scenario of a seed in which a third of the workers or more are silent
    /// during one or more changes of leader, and the lists of them do not fit into the leader row.
    pub(crate) fn random_silent(seed: u64) -> Self {
        let mut random = Random::new(seed ^ SILENT_SALT);
        let mut scenario = Self::random(seed);
        scenario.workers = 6 + random.index(4);
        scenario.silent_list_bytes = random.pick(&SILENT_LIST_BYTES);
        if random.chance(50) {
            scenario.actions.clear();
        }
        let begin = ELECTED_AFTER + random.ms(1_000..10_000);
        let actions = Incident::Silence.actions(scenario.workers, &mut random);
        let actions = actions.into_iter().map(|(at, action)| (begin + at, action));
        scenario.actions.extend(actions);
        scenario
    }

    /// Creates the random scenario of a seed in which the store is slow several times while leaders
    /// resign, with so many short jobs that tasks end during each write.
    pub(crate) fn random_slow_store(seed: u64) -> Self {
        let mut random = Random::new(seed ^ SLOW_SALT);
        let workers = 3 + random.index(4);
        let jobs = (0..MANY_JOBS).map(|_| Job::random_short(&mut random));
        let mut scenario = Self {
            seed,
            workers,
            jobs: jobs.collect(),
            ..Self::quiet(1)
        };
        for number in 0..1 + random.index(3) as u32 {
            let begin = ELECTED_AFTER + random.ms(0..2_000) + number * SLOW_INTERVAL;
            let actions = Incident::SlowStore.actions(workers, &mut random);
            let actions = actions.into_iter().map(|(at, action)| (begin + at, action));
            scenario.actions.extend(actions);
        }
        scenario
    }

    /// Creates the random scenario of a seed with scheduled jobs, whose tasks are copied if they are
    /// slow or run together.
    pub(crate) fn random_scheduled(seed: u64) -> Self {
        let mut random = Random::new(seed ^ SCHEDULED_SALT);
        let mut scenario = Self::random(seed);
        scenario.failing_percent = 0;
        for job in &mut scenario.jobs {
            *job = Job::random_scheduled(&mut random);
        }
        scenario
    }

    /// Creates the random scenario of a seed with lasting tasks. In most, workers are lost for good
    /// around changes of leader; in half of these, the faults of [`Scenario::random`] come too.
    pub(crate) fn random_lasting(seed: u64) -> Self {
        let mut random = Random::new(seed ^ LASTING_SALT);
        let mut scenario = Self::random(seed);
        scenario.jobs.truncate(MAX_OTHER_JOBS);
        for _ in 0..1 + random.index(2) {
            let at = ELECTED_AFTER + random.ms(0..3_000);
            let tasks = 1 + random.below(3) as u32;
            scenario.jobs.push(Job::lasting(at, tasks));
        }
        let loses_worker = random.chance(75);
        if loses_worker && random.chance(50) {
            scenario.actions.clear();
        }
        if loses_worker {
            // The others must have room for all tasks.
            scenario.workers += 2;
            let begin = ELECTED_AFTER + random.ms(2_000..20_000);
            let actions = Incident::Loss.actions(scenario.workers, &mut random);
            let actions = actions.into_iter().map(|(at, action)| (begin + at, action));
            scenario.actions.extend(actions);
        }
        scenario
    }
}
