use std::fmt;

use serde::{Deserialize, Serialize};

use super::Voter;
use crate::fleet::Digest;

/// Identifier of one commit attempt, written as 32 lower-case hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Operation(pub u128);

impl Operation {
    /// Derives the identifier of a committer's attempt with number `sequence`.
    ///
    /// It is unique as long as no incarnation of the committer reuses a sequence number. A retry is
    /// a new attempt and needs a new identifier.
    ///
    /// ```
    /// use coriandernotch::config::{Operation, Voter};
    ///
    /// let voter = Voter::new("a", 1);
    /// assert_ne!(Operation::of(&voter, 1), Operation::of(&voter, 2));
    /// ```
    pub fn of(committer: &Voter, sequence: u64) -> Self {
        let text = format!("{} {} {sequence}", committer.incarnation, committer.name);
        let digest = Digest::of(text.as_bytes()).to_string();
        Self(u128::from_str_radix(&digest[..32], 16).expect("a digest is hexadecimal"))
    }
}

impl fmt::Display for Operation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl From<Operation> for String {
    fn from(operation: Operation) -> Self {
        operation.to_string()
    }
}

impl TryFrom<String> for Operation {
    type Error = String;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        u128::from_str_radix(&text, 16)
            .ok()
            .map(Self)
            .filter(|operation| operation.to_string() == text)
            .ok_or_else(|| format!("{text:?} is not an operation of 32 lower-case hex digits"))
    }
}
