use std::fmt;

use serde_json::Value;

/// Rows of text in aligned columns.
pub(super) struct Table(Vec<Vec<String>>);

impl Table {
    /// Makes a table of a list of objects, with `kind` as the heading of the first column.
    pub(super) fn of(kind: &str, columns: &[&str], list: &Value) -> Self {
        let mut heading: Vec<String> = columns.iter().map(|c| (*c).to_owned()).collect();
        if let Some(first) = heading.first_mut() {
            kind.clone_into(first);
        }
        let cell = |value: &Value| match value {
            Value::String(text) => text.clone(),
            Value::Null => "-".to_owned(),
            value => value.to_string(),
        };
        let rows = list.as_array().map_or(&[][..], |list| list);
        let rows = rows
            .iter()
            .map(|row| columns.iter().map(|c| cell(&row[*c])).collect());
        Self(std::iter::once(heading).chain(rows).collect())
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let columns = self.0.first().map_or(0, Vec::len);
        let width = |c: usize| self.0.iter().map(|row| row[c].len()).max().unwrap_or(0);
        let widths: Vec<usize> = (0..columns).map(width).collect();
        for row in &self.0 {
            let cells = row.iter().zip(&widths);
            let line: Vec<String> = cells
                .map(|(cell, width)| format!("{cell:width$}"))
                .collect();
            writeln!(f, "{}", line.join("  ").trim_end())?;
        }
        Ok(())
    }
}
