use std::process::ExitCode;

use hyper::StatusCode;

/// How a command ended, as its exit code says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(super) enum Exit {
    /// Done.
    Done = 0,
    /// Failed; nothing was changed.
    Failed = 1,
    /// Wrong usage, or an invalid file or name.
    Invalid = 2,
    /// Another operator was first.
    Conflict = 3,
    /// It is unknown whether the change is in force.
    Unknown = 4,
    /// Accepted, but not in force everywhere in time.
    Lagging = 5,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

impl From<StatusCode> for Exit {
    fn from(status: StatusCode) -> Self {
        match status {
            status if status.is_success() => Self::Done,
            StatusCode::PRECONDITION_FAILED => Self::Conflict,
            StatusCode::GATEWAY_TIMEOUT => Self::Unknown,
            StatusCode::UNPROCESSABLE_ENTITY => Self::Invalid,
            _ => Self::Failed,
        }
    }
}
