use std::fmt;
use std::time::Duration;

use tokio::time::Instant;

use crate::end::End;

/// Time in which the progress of a run that does not end by itself rises by one percent. After 100
/// percent it begins again at 0.
const ENDLESS_PERCENT_TIME: Duration = Duration::from_millis(100);

/// A run of a task on the stand-in of a worker.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) task: String,
    pub(crate) number: u64,
    pub(crate) begun: Instant,
    /// Time after which the run ends by itself, if it does.
    duration: Option<Duration>,
    pub(crate) end: Option<End>,
}

impl Run {
    /// Begins a run now. The payload of a test job is its run time in milliseconds, or a word for a
    /// run that does not end by itself.
    pub(crate) fn begin(task: &str, number: u64, payload: &str) -> Self {
        Self {
            task: task.to_owned(),
            number,
            begun: Instant::now(),
            duration: payload.parse().ok().map(Duration::from_millis),
            end: None,
        }
    }

    pub(crate) fn matches(&self, task: &str, number: u64) -> bool {
        self.task == task && self.number == number
    }

    /// Returns when the run ends by itself, if it does.
    pub(crate) fn due(&self) -> Option<Instant> {
        self.duration.map(|duration| self.begun + duration)
    }

    /// Returns the progress in percent, which rises for as long as the run works.
    pub(crate) fn percent(&self) -> u128 {
        let elapsed = self.begun.elapsed();
        match self.duration {
            Some(duration) => elapsed.as_millis() * 100 / duration.as_millis().max(1),
            None => elapsed.as_millis() / ENDLESS_PERCENT_TIME.as_millis() % 100,
        }
    }

    pub(crate) fn end(&mut self, position: u64, outcome: &'static str, at: Instant) {
        self.end = Some(End {
            position,
            outcome,
            at,
            acknowledged: false,
        });
    }

    /// Returns whether the other run is a run of the same task that was present at the same time.
    pub(crate) fn overlaps(&self, other: &Self) -> bool {
        let (first, second) = if self.begun <= other.begun {
            (self, other)
        } else {
            (other, self)
        };
        let had_ended = |end: &End| end.at <= second.begun;
        self.task == other.task && !first.end.as_ref().is_some_and(had_ended)
    }
}

impl fmt::Display for Run {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} run {}", self.task, self.number)?;
        match &self.end {
            Some(end) => write!(f, ": {} after {:?}", end.outcome, end.at - self.begun),
            None => write!(f, ": running since {:?}", self.begun.elapsed()),
        }
    }
}
