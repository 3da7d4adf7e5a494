use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// An entry instance whose acknowledgement counts.
///
/// A restarted instance has lost what it acknowledged, so it gets a new incarnation, which is no
/// voter until a commit makes it one.
///
/// ```
/// use coriandernotch::config::Voter;
///
/// assert_ne!(Voter::new("a", 1), Voter::new("a", 2));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Voter {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Number that no other process of this name has used.
    pub incarnation: u64,
}

impl Voter {
    /// Makes a voter.
    ///
    /// ```
    /// assert_eq!(coriandernotch::config::Voter::new("a", 2).incarnation, 2);
    /// ```
    pub fn new(name: &str, incarnation: u64) -> Self {
        Self {
            name: name.into(),
            incarnation,
        }
    }
}
