use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// An incarnation of an entry instance, whose acknowledgements count if the head lists it.
///
/// A restarted instance no longer knows what it acknowledged, so it gets a new incarnation, which
/// becomes a voter only by a commit that adds it.
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
    /// Creates a voter.
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
