use std::sync::Arc;

/// One life of an entry instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Voter {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Number of the life; a restart takes a new one, so it never inherits permits.
    pub incarnation: u64,
}

impl Voter {
    /// Makes a voter.
    ///
    /// ```
    /// assert_eq!(&*coriandernotch::limit::Voter::new("entry-1", 3).name, "entry-1");
    /// ```
    pub fn new(name: impl Into<Arc<str>>, incarnation: u64) -> Self {
        Self {
            name: name.into(),
            incarnation,
        }
    }

    pub(super) fn hash(&self) -> u64 {
        super::hash(self.incarnation, self.name.as_bytes())
    }
}
