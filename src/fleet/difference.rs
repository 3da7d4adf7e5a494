use std::fmt;

use serde::Serialize;
use serde_json::Value;

/// A field whose value differs between two documents.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Difference {
    /// Path of the field, with names in place of indices, such as `workspaces[quotes].limit`.
    pub field: String,
    /// Value in the first document; `None` if only the second document has the field.
    pub before: Option<Value>,
    /// Value in the second document; `None` if only the first document has the field.
    pub after: Option<Value>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            field,
            before,
            after,
        } = self;
        match (before, after) {
            (Some(before), Some(after)) => write!(f, "{field}: {before} -> {after}"),
            (None, Some(after)) => write!(f, "{field}: added {after}"),
            (Some(before), None) => write!(f, "{field}: removed {before}"),
            (None, None) => write!(f, "{field}: unchanged"),
        }
    }
}
