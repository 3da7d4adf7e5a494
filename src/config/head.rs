use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Operation, Origin, Position, Voter};
use crate::fleet::Digest;

/// Value of row `fleet/head`: the version in force.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Head {
    /// Configuration version; each change increments it by one, a fence write leaves it unchanged.
    pub version: u64,
    /// Digest of the fleet document.
    pub digest: Digest,
    /// Entry instances whose acknowledgements count for the next change, sorted.
    pub voters: Vec<Voter>,
    /// Commit attempt that created this version.
    pub operation: Operation,
    /// Operator or instance that made the change.
    pub author: Arc<str>,
    /// Milliseconds since 1970 at which the change was made.
    pub time: u64,
}

impl Head {
    /// Creates the first version, whose only voter is the instance that writes it.
    ///
    /// ```
    /// use coriandernotch::config::{Head, Operation, Origin, Voter};
    /// use coriandernotch::fleet::Digest;
    ///
    /// let head = Head::first(
    ///     Digest::of(b"{}"),
    ///     Voter::new("a", 1),
    ///     &Origin::new(Operation(1), "ana", 0),
    /// );
    /// let next = head.with_voters(
    ///     &[Voter::new("b", 1)],
    ///     &[],
    ///     &Origin::new(Operation(2), "b", 0),
    /// );
    /// assert_eq!((next.version, next.voters.len()), (2, 2));
    /// let next = next.with_digest(Digest::of(b"{ }"), &Origin::new(Operation(3), "ana", 0));
    /// assert_eq!(Head::from_json(&next.to_json()).unwrap(), next);
    /// ```
    pub fn first(digest: Digest, voter: Voter, origin: &Origin) -> Self {
        Self {
            version: 1,
            digest,
            voters: vec![voter],
            operation: origin.operation,
            author: origin.author.clone(),
            time: origin.time,
        }
    }

    /// Creates the next version with another document; see [`Head::first`].
    ///
    /// ```
    /// # use coriandernotch::config::{Head, Operation, Origin, Voter};
    /// # use coriandernotch::fleet::Digest;
    /// # let origin = Origin::new(Operation(1), "ana", 0);
    /// # let head = Head::first(Digest::of(b"{}"), Voter::new("a", 1), &origin);
    /// assert_eq!(head.with_digest(Digest::of(b"[]"), &origin).version, 2);
    /// ```
    pub fn with_digest(&self, digest: Digest, origin: &Origin) -> Self {
        Self {
            version: self.version + 1,
            digest,
            voters: self.voters.clone(),
            operation: origin.operation,
            author: origin.author.clone(),
            time: origin.time,
        }
    }

    /// Creates the next version with voters added and removed; see [`Head::first`].
    ///
    /// ```
    /// # use coriandernotch::config::{Head, Operation, Origin, Voter};
    /// # use coriandernotch::fleet::Digest;
    /// # let origin = Origin::new(Operation(1), "ana", 0);
    /// # let head = Head::first(Digest::of(b"{}"), Voter::new("a", 1), &origin);
    /// assert!(head.with_voters(&[], &head.voters, &origin).voters.is_empty());
    /// ```
    pub fn with_voters(&self, add: &[Voter], remove: &[Voter], origin: &Origin) -> Self {
        let mut next = self.with_digest(self.digest, origin);
        next.voters.retain(|voter| !remove.contains(voter));
        next.voters.extend_from_slice(add);
        next.voters.sort();
        next.voters.dedup();
        next
    }

    /// Returns the position of this head, given that it is the value of row version `revision`.
    ///
    /// ```
    /// # use coriandernotch::config::{Head, Operation, Origin, Voter};
    /// # use coriandernotch::fleet::Digest;
    /// # let origin = Origin::new(Operation(1), "ana", 0);
    /// # let head = Head::first(Digest::of(b"{}"), Voter::new("a", 1), &origin);
    /// assert_eq!(head.position(7).revision, 7);
    /// ```
    pub fn position(&self, revision: u64) -> Position {
        Position {
            revision,
            version: self.version,
            operation: self.operation,
        }
    }

    /// Serialises the head into the text of its row.
    ///
    /// ```
    /// # use coriandernotch::config::{Head, Operation, Origin, Voter};
    /// # use coriandernotch::fleet::Digest;
    /// # let origin = Origin::new(Operation(1), "ana", 0);
    /// # let head = Head::first(Digest::of(b"{}"), Voter::new("a", 1), &origin);
    /// assert!(head.to_json().starts_with("{\"version\":1,"));
    /// ```
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("serialising a head cannot fail")
    }

    /// Parses the text of the head row.
    ///
    /// # Errors
    ///
    /// Returns the parser's message when the text is not a head.
    ///
    /// ```
    /// assert!(coriandernotch::config::Head::from_json("{}").is_err());
    /// ```
    pub fn from_json(text: &str) -> Result<Self, serde_json::Error> {
        serde_json::from_str(text)
    }
}
