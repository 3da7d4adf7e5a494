use std::time::Duration;

use super::Decision;
use crate::clock::Instant;

/// Factor of the worth of a near place while others wait for the room elsewhere: a far run takes
/// the time that it lasts longer from them as well.
const CROWDED_WORTH: u32 = 2;

/// The choice of a task between a far place now and a near one later.
///
/// ```
/// use std::time::Duration;
/// use coriandernotch::batch::locality::{Choice, Decision};
/// use coriandernotch::clock::Instant;
///
/// let choice = Choice {
///     near: Duration::from_secs(2),
///     far: Duration::from_secs(5),
///     left: Some(Duration::from_secs(20)),
///     ..Choice::default()
/// };
/// let now = Instant::default();
/// let until = now + Duration::from_secs(3);
/// assert_eq!(choice.decide(Some(Duration::from_secs(1)), now), Decision::WaitUntil(until));
/// assert_eq!(choice.decide(Some(Duration::from_secs(4)), now), Decision::Far);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Choice {
    /// Expected run time near and far.
    pub near: Duration,
    /// See [`Choice::near`].
    pub far: Duration,
    /// Expected time of the later steps of the job.
    pub rest: Duration,
    /// Time left until the objective of the job; `None` if it is over.
    pub left: Option<Duration>,
    /// Time since the task was ready.
    pub waited: Duration,
    /// Whether others wait for the room elsewhere.
    pub crowded: bool,
}

impl Choice {
    /// Decides by the expected time until a near place is free for the task; `None` if none will be.
    ///
    /// A task that has waited as long as the near place is worth goes far, so that a place which
    /// others take time and again costs no more than twice the best. That bound does not hold for a
    /// job that meets its objective near only.
    pub fn decide(&self, wait: Option<Duration>, now: Instant) -> Decision {
        let (Some(wait), Some(saved)) = (wait, self.far.checked_sub(self.near)) else {
            return Decision::Far;
        };
        let worth = if self.crowded {
            saved * CROWDED_WORTH
        } else {
            saved
        };
        let worth_left = worth.saturating_sub(self.waited);
        let slack_far = self.slack(self.far);
        let slack_near = self.slack(self.near);
        let latest = match (slack_far, slack_near) {
            (Some(slack), _) => slack.min(worth_left),
            (None, Some(slack)) if wait < slack => slack,
            // Late either way: the task goes where it ends first.
            (None, _) => saved.saturating_sub(self.waited),
        };
        if wait < latest {
            Decision::WaitUntil(now + latest)
        } else {
            Decision::Far
        }
    }

    /// Returns for how long a run of some length can be put off within the objective.
    fn slack(&self, run: Duration) -> Option<Duration> {
        self.left?.checked_sub(run + self.rest)
    }
}
