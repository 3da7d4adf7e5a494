use super::{Operation, Revision, Version};

/// Message that proposes the version after `base`.
///
/// It carries the head that it replaces, so that a voter with an older head learns of that one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Prepare {
    /// Head to replace; the write is conditional on its row version.
    pub base: Revision,
    /// Proposed version.
    pub version: Version,
}

impl Prepare {
    /// Returns the identifier of the commit attempt.
    ///
    /// ```
    /// use coriandernotch::config::{Head, Operation, Origin, Prepare, Revision, Version, Voter};
    /// use coriandernotch::fleet::Digest;
    ///
    /// let origin = Origin::new(Operation(1), "ana", 0);
    /// let head = Head::first(Digest::of(b"{}"), Voter::new("a", 1), &origin);
    /// let next = head.with_digest(head.digest, &Origin::new(Operation(2), "ana", 0));
    /// let prepare = Prepare {
    ///     base: Revision { number: 1, head: head.into() },
    ///     version: Version { head: next.into(), content: "{}".into() },
    /// };
    /// assert_eq!(prepare.operation(), Operation(2));
    /// assert!(prepare.is_valid());
    /// ```
    pub fn operation(&self) -> Operation {
        self.version.head.operation
    }

    /// Tells whether the proposed version is the one after its base and the document matches its
    /// digest.
    ///
    /// See [`Prepare::operation`] for an example.
    pub fn is_valid(&self) -> bool {
        self.version.head.version == self.base.head.version + 1 && self.version.is_intact()
    }
}
