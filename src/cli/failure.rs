use eyre::Report;

use super::exit::Exit;

/// A call without an answer.
#[derive(Debug)]
pub(super) struct Failure {
    pub(super) report: Report,
    /// Whether the request may have had its effect.
    pub(super) sent: bool,
}

impl Failure {
    /// Reports the failure of a change and says what is known of it.
    pub(super) fn of_change(&self) -> Exit {
        eprintln!("coriandernotch: {:#}", self.report);
        match self.sent {
            true => {
                eprintln!("it is unknown whether the change is in force; see `history`");
                Exit::Unknown
            }
            false => Exit::Failed,
        }
    }

    /// Reports the failure of a call that changes nothing.
    pub(super) fn of_read(&self) -> Exit {
        eprintln!("coriandernotch: {:#}", self.report);
        Exit::Failed
    }
}
