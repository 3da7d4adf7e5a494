use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// One measured figure.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Row {
    /// What was measured.
    pub name: Arc<str>,
    /// Policy or baseline under which it was measured.
    pub policy: Arc<str>,
    /// Figure, or `None` when there is none, such as the wait of a job that never started.
    pub value: Option<f64>,
    /// Unit of the figure.
    pub unit: Arc<str>,
    /// Target, if there is one.
    pub bound: Option<Bound>,
}

/// Target of a figure.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Bound {
    /// At most this.
    Most(f64),
    /// At least this.
    Least(f64),
}

impl Row {
    /// Makes a figure without a target. A value that is not finite counts as none.
    ///
    /// ```
    /// use coriandernotch::measure::{Bound, Row};
    ///
    /// let row = Row::new("urgent start p99", "learned", 0.4, "s").bound(Bound::Most(1.3));
    /// assert_eq!(row.is_met(), Some(true));
    /// ```
    pub fn new(name: &str, policy: &str, value: f64, unit: &str) -> Self {
        Self {
            name: name.into(),
            policy: policy.into(),
            value: value.is_finite().then_some(value),
            unit: unit.into(),
            bound: None,
        }
    }

    /// Sets the target.
    #[must_use]
    pub fn bound(mut self, bound: Bound) -> Self {
        self.bound = Some(bound);
        self
    }

    /// Returns whether the target is met, or `None` without a target. A missing figure
    /// meets none.
    pub fn is_met(&self) -> Option<bool> {
        self.bound.map(|bound| match (self.value, bound) {
            (Some(value), Bound::Most(most)) => value <= most,
            (Some(value), Bound::Least(least)) => value >= least,
            (None, _) => false,
        })
    }
}
