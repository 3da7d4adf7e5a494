use serde::{Deserialize, Serialize};

use super::{Calendar, Manager, Summary};
use crate::clock::Instant;
use crate::platform::{Condition, Row, Write};

/// Row `managers/plans`: status and progress of all plans, readable at any entry instance.
///
/// For display only, so a former manager that briefly overwrites it does no harm.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Overview {
    /// Fencing token of the manager that wrote it.
    pub token: u64,
    /// When it was written, in seconds since 1970.
    pub time: u64,
    /// Status and progress of each plan of the document.
    pub plans: Vec<Summary>,
}

impl Overview {
    /// Key of the row.
    pub const KEY: &str = "managers/plans";

    /// Summarises the plans of a manager, or returns `None` when it must read the rows again first.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::plans::{Calendar, Manager, Overview};
    ///
    /// let now = Instant::default();
    /// assert!(Overview::of(&Manager::default(), now, &Calendar::new(now, 0)).is_none());
    /// ```
    pub fn of(manager: &Manager, now: Instant, calendar: &Calendar) -> Option<Self> {
        let state = manager.state()?;
        let plans = manager.plans().iter().map(|plan| {
            let progress = plan.progress(now, calendar, state);
            Summary {
                name: plan.name.clone(),
                pool: state.pool(plan.pool).map_or("".into(), |p| p.name.clone()),
                status: plan.record.status,
                author: plan.record.author.clone(),
                total: progress.total,
                done: progress.done,
                draining: progress.draining,
                rebooting: progress.rebooting,
                down: progress.down,
                end: progress.expected_end,
                wait: progress.blocker.map(|blocker| blocker.to_string()),
            }
        });
        Some(Self {
            token: state.token(),
            time: calendar.unix_time(now),
            plans: plans.collect(),
        })
    }

    /// Tells whether both describe the same plans.
    ///
    /// Compares neither the tokens nor the times, which move with the clock.
    ///
    /// ```
    /// use coriandernotch::plans::Overview;
    ///
    /// let overview = |time| Overview { token: 1, time, plans: Vec::new() };
    /// assert!(overview(1).has_same_plans(&overview(2)));
    /// ```
    pub fn has_same_plans(&self, other: &Self) -> bool {
        let without_end = |plan: &Summary| Summary {
            end: 0,
            ..plan.clone()
        };
        let (own, others) = (
            self.plans.iter().map(without_end),
            other.plans.iter().map(without_end),
        );
        own.eq(others)
    }

    /// Parses the row; returns `None` if it is missing or cannot be parsed.
    ///
    /// ```
    /// assert!(coriandernotch::plans::Overview::read(None).is_none());
    /// ```
    pub fn read(row: Option<&Row>) -> Option<Self> {
        serde_json::from_str(&row?.value).ok()
    }

    /// Returns the write of the row.
    pub fn write(&self) -> Write {
        let value = serde_json::to_string(self).expect("an overview serialises to JSON");
        Write::put(Self::KEY, Condition::Any, &value)
    }
}
