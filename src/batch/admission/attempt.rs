/// Earlier attempts to submit a job at one instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Attempt {
    /// When the job was first submitted, in milliseconds since 1970.
    pub first_ms: u64,
    /// Number of attempts.
    pub count: u32,
    /// Number of writes of the job that were begun and are not known to have failed.
    pub writes: u32,
}

impl Attempt {
    /// Returns whether an attempt has stored the job, or may have.
    ///
    /// ```
    /// use coriandernotch::batch::admission::Attempt;
    ///
    /// assert!(!Attempt::default().may_be_stored());
    /// ```
    pub fn may_be_stored(&self) -> bool {
        self.writes > 0
    }
}
