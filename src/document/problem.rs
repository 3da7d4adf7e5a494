use std::fmt;
use std::sync::Arc;

use serde::Serialize;

/// One reason for which a file is refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Problem {
    /// Name of the file as the caller gave it.
    pub file: Arc<str>,
    /// Line, counted from 1.
    pub line: u32,
    /// Column in characters, counted from 1.
    pub column: u32,
    /// Path of the field, such as `workspaces[2].limit`; `document` for the whole.
    pub field: String,
    /// Offending value as it stands in the text, shortened.
    pub value: String,
    /// What is accepted in its place.
    pub accepted: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            file,
            line,
            column,
            field,
            value,
            accepted,
        } = self;
        write!(
            f,
            "{file}:{line}:{column}: {field}: value {value}: accepted {accepted}"
        )
    }
}
