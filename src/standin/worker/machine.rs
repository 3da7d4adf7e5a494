use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use super::task::Task;
use super::{Behaviour, Command, Need, Order, Refusal, Report, Run, Status};
use crate::clock::Instant;

/// State and decisions of a worker.
///
/// ```
/// use coriandernotch::clock::Instant;
/// use coriandernotch::standin::worker::{Command, Machine, Need, Order, Refusal};
///
/// let mut machine = Machine::new(Need { milli_cpus: 1000, ..Need::default() });
/// let order = Order {
///     shard: "q".into(),
///     token: 2,
///     lease_ms: 1000,
///     need: Need::default(),
///     real: Need::default(),
///     run_ms: 500,
/// };
/// let now = Instant::default();
/// assert_eq!(machine.run("j1", order, now), Ok(true));
/// assert_eq!(machine.command("j1", 1, Command::Stop, now), Err(Refusal::Older(2)));
/// ```
pub struct Machine {
    size: Need,
    behaviour: Behaviour,
    lag: Duration,
    tokens: BTreeMap<Arc<str>, u64>,
    tasks: BTreeMap<Arc<str>, Task>,
    starts: Vec<(Arc<str>, Instant)>,
    reports: VecDeque<(Instant, Vec<Report>)>,
}

/// Past reports kept to answer with a lag.
const MAX_REPORTS: usize = 256;

impl Machine {
    /// Makes an idle worker of this size.
    ///
    /// ```
    /// use coriandernotch::standin::worker::{Machine, Need};
    ///
    /// assert!(Machine::new(Need::default()).starts().is_empty());
    /// ```
    pub fn new(size: Need) -> Self {
        Self {
            size,
            behaviour: Behaviour::Normal,
            lag: Duration::ZERO,
            tokens: BTreeMap::new(),
            tasks: BTreeMap::new(),
            starts: Vec::new(),
            reports: VecDeque::new(),
        }
    }

    /// Returns all that the machine has.
    ///
    /// ```
    /// use coriandernotch::standin::worker::{Machine, Need};
    ///
    /// assert_eq!(Machine::new(Need::default()).size(), Need::default());
    /// ```
    pub fn size(&self) -> Need {
        self.size
    }

    /// Changes what happens to jobs started from now on.
    ///
    /// ```
    /// use coriandernotch::standin::worker::{Behaviour, Machine, Need};
    ///
    /// Machine::new(Need::default()).set_behaviour(Behaviour::FailAll);
    /// ```
    pub fn set_behaviour(&mut self, behaviour: Behaviour) {
        self.behaviour = behaviour;
    }

    /// Makes reports show the state of `lag` ago.
    ///
    /// ```
    /// use coriandernotch::standin::worker::{Machine, Need};
    ///
    /// Machine::new(Need::default()).set_lag(std::time::Duration::from_secs(5));
    /// ```
    pub fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Returns every start of a job with its time, for checks.
    ///
    /// ```
    /// use coriandernotch::standin::worker::{Machine, Need};
    ///
    /// assert!(Machine::new(Need::default()).starts().is_empty());
    /// ```
    pub fn starts(&self) -> &[(Arc<str>, Instant)] {
        &self.starts
    }

    /// Returns every job with its state and when it ran, for checks.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::standin::worker::{Machine, Need};
    ///
    /// assert!(Machine::new(Need::default()).runs(Instant::default()).is_empty());
    /// ```
    pub fn runs(&mut self, now: Instant) -> Vec<Run> {
        self.advance(now);
        let runs = self.tasks.iter().map(|(id, task)| {
            let (start, end) = task.times();
            Run {
                id: id.clone(),
                status: task.status,
                start,
                end,
            }
        });
        runs.collect()
    }

    /// Starts a job; `false` means that it runs already.
    ///
    /// A job that ended here may be started again. Errors: [`Refusal::Older`], [`Refusal::Full`].
    ///
    /// The example of [`Machine`] shows a start.
    pub fn run(&mut self, id: &str, order: Order, now: Instant) -> Result<bool, Refusal> {
        self.advance(now);
        self.fence(&order.shard, order.token)?;
        if let Some(task) = self.tasks.get_mut(id)
            && task.status == Status::Running
        {
            // The new holder of the shard takes the job over.
            task.order.token = order.token;
            task.lease_end = now + Duration::from_millis(order.lease_ms);
            return Ok(false);
        }
        if !self.used().plus(order.need).fits(&self.size) {
            return Err(Refusal::Full);
        }
        let status = match self.behaviour {
            Behaviour::Normal => Status::Running,
            Behaviour::FailAll => Status::Failed,
        };
        let id: Arc<str> = id.into();
        self.starts.push((id.clone(), now));
        self.tasks.insert(id, Task::new(order, status, now));
        self.record(now);
        Ok(true)
    }

    /// Follows an order about a job that was started here.
    ///
    /// Errors: [`Refusal::Missing`], [`Refusal::Older`], [`Refusal::Malformed`]. A job that ended
    /// already stays as it is.
    ///
    /// The example of [`Machine`] shows a refused order.
    pub fn command(
        &mut self,
        id: &str,
        token: u64,
        command: Command,
        now: Instant,
    ) -> Result<(), Refusal> {
        self.advance(now);
        let shard = self
            .tasks
            .get(id)
            .ok_or(Refusal::Missing)?
            .order
            .shard
            .clone();
        self.fence(&shard, token)?;
        let task = self.tasks.get_mut(id).ok_or(Refusal::Missing)?;
        if task.status == Status::Running {
            match command {
                Command::Renew { lease_ms } => {
                    task.lease_end = now + Duration::from_millis(lease_ms);
                }
                Command::Throttle {
                    percent: percent @ 1..=100,
                } => task.percent = percent,
                Command::Throttle { .. } => return Err(Refusal::Malformed),
                Command::Checkpoint => task.finish(Status::Checkpointed, now),
                Command::Stop => task.finish(Status::Stopped, now),
            }
        }
        self.record(now);
        Ok(())
    }

    /// Returns the state of all jobs as it was before the report lag.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::standin::worker::{Machine, Need};
    ///
    /// assert!(Machine::new(Need::default()).report(Instant::default()).is_empty());
    /// ```
    pub fn report(&mut self, now: Instant) -> Vec<Report> {
        self.advance(now);
        self.record(now);
        self.reports
            .iter()
            .rev()
            .find(|(at, _)| now.since(*at) >= self.lag)
            .map_or_else(Vec::new, |(_, list)| list.clone())
    }

    fn advance(&mut self, now: Instant) {
        self.tasks.values_mut().for_each(|task| task.advance(now));
    }

    fn fence(&mut self, shard: &Arc<str>, token: u64) -> Result<(), Refusal> {
        let highest = self.tokens.entry(shard.clone()).or_insert(token);
        if token < *highest {
            return Err(Refusal::Older(*highest));
        }
        *highest = token;
        Ok(())
    }

    fn used(&self) -> Need {
        self.tasks
            .values()
            .filter(|task| task.status == Status::Running)
            .fold(Need::default(), |sum, task| sum.plus(task.order.need))
    }

    fn record(&mut self, now: Instant) {
        let list = self.tasks.iter().map(|(id, task)| {
            let running = task.status == Status::Running;
            Report {
                id: id.clone(),
                shard: task.order.shard.clone(),
                status: task.status,
                usage: if running {
                    task.order.real
                } else {
                    Need::default()
                },
                done_ms: u64::try_from(task.done.as_millis()).unwrap_or(u64::MAX),
            }
        });
        let list = list.collect();
        if self.reports.len() == MAX_REPORTS {
            self.reports.pop_front();
        }
        self.reports.push_back((now, list));
    }
}
