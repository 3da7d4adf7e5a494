/// Why a connection was evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Cause {
    /// Another connection needed its place.
    Connections,
    /// Another connection needed its bytes, or there were none for it.
    Memory,
    /// The head was longer than the limit.
    LongHead,
    /// The head did not arrive in time.
    SlowHead,
    /// The body did not arrive in time.
    SlowBody,
    /// No request arrived.
    Idle,
    /// The answer was not taken in time.
    UnreadAnswer,
}

impl Cause {
    /// Returns the name in log lines and metrics.
    ///
    /// ```
    /// assert_eq!(coriandernotch::intake::Cause::SlowHead.name(), "slow-head");
    /// ```
    pub fn name(self) -> &'static str {
        self.into()
    }
}
