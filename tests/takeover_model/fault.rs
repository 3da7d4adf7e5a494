use std::time::Duration;

/// What happens to a call that a fault affects. Apart from [`Fault::Refused`] and [`Fault::Slow`],
/// the caller gets no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The caller learns at once that the call was not carried out.
    Refused,
    /// The call is carried out, but its answer is lost.
    Lost,
    /// The call is carried out after this time.
    Late(Duration),
    /// The call is carried out after this time, or after half of it if it is a read, and answered.
    Slow(Duration),
    /// The call is not carried out.
    Silent,
}

impl Fault {
    /// Returns the time after which an affected call is carried out.
    pub(crate) fn delay(self) -> Duration {
        match self {
            Self::Late(delay) | Self::Slow(delay) => delay,
            Self::Refused | Self::Lost | Self::Silent => Duration::ZERO,
        }
    }
}
