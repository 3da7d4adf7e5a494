use std::sync::atomic::{AtomicU64, Ordering};

use strum::{EnumCount, IntoEnumIterator};

use super::Rule;

/// Checks made and violations found per rule.
///
/// ```
/// use coriandernotch::demo::{Rule, Tally};
///
/// let tally = Tally::default();
/// tally.check(Rule::Limit, true, || "running=5 limit=5".to_owned());
/// assert_eq!(tally.get(Rule::Limit), (1, 0));
/// ```
#[derive(Debug, Default)]
pub struct Tally {
    checks: [AtomicU64; Rule::COUNT],
    violations: [AtomicU64; Rule::COUNT],
}

impl Tally {
    /// Counts one check; `explain` describes a violation for the log.
    pub fn check(&self, rule: Rule, holds: bool, explain: impl FnOnce() -> String) {
        self.checks[rule as usize].fetch_add(1, Ordering::Relaxed);
        if !holds {
            self.violations[rule as usize].fetch_add(1, Ordering::Relaxed);
            log::error!(event = "violation", rule:% = rule, case:% = explain(); "");
        }
    }

    /// Returns the checks and the violations of a rule.
    pub fn get(&self, rule: Rule) -> (u64, u64) {
        let read = |counters: &[AtomicU64]| counters[rule as usize].load(Ordering::Relaxed);
        (read(&self.checks), read(&self.violations))
    }

    /// Lists all rules with their checks and violations.
    pub fn iter(&self) -> impl Iterator<Item = (Rule, u64, u64)> {
        Rule::iter().map(|rule| {
            let (checks, violations) = self.get(rule);
            (rule, checks, violations)
        })
    }
}
