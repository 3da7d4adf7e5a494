use super::{Operation, Revision, Version};

/// Message that proposes the version to follow `base`.
///
/// It carries the head that it replaces, so that a voter that is behind learns of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Prepare {
    /// Head on whose row version the write is conditional.
    pub base: Revision,
    /// Proposed version.
    pub version: Version,
}

impl Prepare {
    /// Returns the attempt.
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
    /// assert!(prepare.is_sound());
    /// ```
    pub fn operation(&self) -> Operation {
        self.version.head.operation
    }

    /// Tells whether the proposed version follows its base and its document is intact.
    ///
    /// See [`Prepare::operation`] for an example.
    pub fn is_sound(&self) -> bool {
        self.version.head.version == self.base.head.version + 1 && self.version.is_intact()
    }
}
