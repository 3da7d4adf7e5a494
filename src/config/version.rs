use std::sync::Arc;

use super::Head;
use crate::fleet::Digest;

/// A configuration version and its document.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Version {
    /// Head that declares the version, in force or proposed.
    pub head: Arc<Head>,
    /// Text of the fleet document.
    pub content: Arc<str>,
}

impl Version {
    /// Tells whether the document matches the digest in the head.
    ///
    /// ```
    /// use coriandernotch::config::{Head, Operation, Origin, Version, Voter};
    /// use coriandernotch::fleet::Digest;
    ///
    /// let origin = Origin::new(Operation(1), "ana", 0);
    /// let head = Head::first(Digest::of(b"{}"), Voter::new("a", 1), &origin);
    /// assert!(!Version { head: head.into(), content: "[]".into() }.is_intact());
    /// ```
    pub fn is_intact(&self) -> bool {
        Digest::of(self.content.as_bytes()).matches(&self.head.digest)
    }
}
