use std::fmt;

use serde::{Deserialize, Serialize};

use super::{Bound, Row, Shape};

/// Figures of one shape. `Display` renders a table.
///
/// ```
/// use coriandernotch::measure::{Report, Row, Shape};
///
/// let mut report = Report::new(Shape::Rennes, 1);
/// report.push(Row::new("moves", "planner", 12.0, "count"));
/// assert!(report.to_string().contains("moves"));
/// assert!(report.json().contains("\"planner\""));
/// ```
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Report {
    /// Fleet that was measured.
    pub shape: Shape,
    /// Seed of the run.
    pub seed: u64,
    /// Figures in the order in which they were added.
    pub rows: Vec<Row>,
}

impl Report {
    /// Makes a report without figures.
    pub fn new(shape: Shape, seed: u64) -> Self {
        Self {
            shape,
            seed,
            rows: Vec::new(),
        }
    }

    /// Adds a figure.
    pub fn push(&mut self, row: Row) {
        self.rows.push(row);
    }

    /// Returns a figure by name and policy.
    pub fn value(&self, name: &str, policy: &str) -> Option<f64> {
        let mut rows = self.rows.iter();
        rows.find(|r| &*r.name == name && &*r.policy == policy)
            .and_then(|r| r.value)
    }

    /// Renders the report as JSON.
    pub fn json(&self) -> String {
        serde_json::to_string_pretty(self).expect("a report has only string keys")
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "shape={} seed={}", self.shape, self.seed)?;
        writeln!(
            f,
            "{:<52} {:<10} {:>12} {:<8} {:>10} met",
            "measure", "policy", "value", "unit", "target"
        )?;
        for row in &self.rows {
            let bound = match row.bound {
                Some(Bound::Most(most)) => format!("<= {most}"),
                Some(Bound::Least(least)) => format!(">= {least}"),
                None => "-".to_owned(),
            };
            let met = match row.is_met() {
                Some(true) => "yes",
                Some(false) => "no",
                None => "-",
            };
            let value = row.value.map_or("none".to_owned(), |v| format!("{v:.3}"));
            writeln!(
                f,
                "{:<52} {:<10} {value:>12} {:<8} {bound:>10} {met}",
                row.name, row.policy, row.unit
            )?;
        }
        Ok(())
    }
}
