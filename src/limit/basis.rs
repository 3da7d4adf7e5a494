use super::TermsId;

/// The versions that a lender enforced when it granted or renewed a loan.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Basis {
    /// Newest committed version.
    pub version: u64,
    /// Newest change that the lender had acknowledged without knowing whether it was committed.
    pub pending: Option<TermsId>,
}

impl Basis {
    /// Returns whether the lender already enforced the terms identified by `mark`.
    ///
    /// ```
    /// use coriandernotch::limit::{Basis, TermsId};
    ///
    /// let basis = Basis { version: 4, pending: Some(TermsId { version: 5, tag: 9 }) };
    /// assert!(basis.covers(TermsId { version: 4, tag: 1 }));
    /// assert!(basis.covers(TermsId { version: 5, tag: 9 }));
    /// assert!(!basis.covers(TermsId { version: 5, tag: 8 }));
    /// ```
    pub fn covers(self, mark: TermsId) -> bool {
        self.version >= mark.version || self.pending == Some(mark)
    }
}
