use serde::{Deserialize, Serialize};

use super::{Calendar, Manager, Standing};
use crate::clock::Instant;
use crate::platform::{Condition, Row, Write};

/// Row `managers/plans`: where all plans stand, for operators at any entry instance.
///
/// Only for display, so a former manager that overwrites it for a moment does no harm.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Survey {
    /// Fencing token of the manager that wrote it.
    pub token: u64,
    /// When it was written, in seconds since 1970.
    pub time: u64,
    /// The plans of the document.
    pub plans: Vec<Standing>,
}

impl Survey {
    /// Key of the row.
    pub const KEY: &str = "managers/plans";

    /// Takes stock of the plans of a manager, unless it must read rows again first.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::plans::{Calendar, Manager, Survey};
    ///
    /// let now = Instant::default();
    /// assert!(Survey::of(&Manager::default(), now, &Calendar::new(now, 0)).is_none());
    /// ```
    pub fn of(manager: &Manager, now: Instant, calendar: &Calendar) -> Option<Self> {
        let state = manager.state()?;
        let plans = manager.plans().iter().map(|plan| {
            let progress = plan.progress(now, calendar, state);
            Standing {
                name: plan.name.clone(),
                pool: state.pool(plan.pool).map_or("".into(), |p| p.name.clone()),
                status: plan.record.status,
                author: plan.record.author.clone(),
                total: progress.total,
                done: progress.done,
                draining: progress.draining,
                rebooting: progress.rebooting,
                down: progress.down,
                end: progress.end,
                wait: progress.wait.map(|wait| wait.to_string()),
            }
        });
        Some(Self {
            token: state.token(),
            time: calendar.unix(now),
            plans: plans.collect(),
        })
    }

    /// Tells whether both state the same but for the times, which move with the clock.
    ///
    /// ```
    /// use coriandernotch::plans::Survey;
    ///
    /// let survey = |time| Survey { token: 1, time, plans: Vec::new() };
    /// assert!(survey(1).is_like(&survey(2)));
    /// ```
    pub fn is_like(&self, other: &Self) -> bool {
        let steady = |plan: &Standing| Standing {
            end: 0,
            ..plan.clone()
        };
        let (own, others) = (
            self.plans.iter().map(steady),
            other.plans.iter().map(steady),
        );
        own.eq(others)
    }

    /// Reads the row.
    ///
    /// ```
    /// assert!(coriandernotch::plans::Survey::read(None).is_none());
    /// ```
    pub fn read(row: Option<&Row>) -> Option<Self> {
        serde_json::from_str(&row?.value).ok()
    }

    /// Makes the write of the row.
    pub fn write(&self) -> Write {
        let value = serde_json::to_string(self).expect("text keys only");
        Write::put(Self::KEY, Condition::Any, &value)
    }
}
