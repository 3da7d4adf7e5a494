use std::sync::Arc;

use super::request::Request;
use crate::limit::Permit;

/// Command that the task of a queue sends to the client of a worker.
pub(super) enum Command {
    /// Start a run.
    Start {
        /// Name of the run at the worker.
        run: Arc<str>,
        /// Workspace whose limit the run counts against.
        workspace: Arc<str>,
        /// Permit that the run holds.
        permit: Permit,
        /// Start request; token and lease are set when it is sent.
        body: Request,
    },
    /// Track a run that an earlier holder started. It is not renewed before [`Command::Permit`].
    Adopt(Arc<str>),
    /// Set the permit of an adopted run and renew it.
    Permit {
        /// Name of the run at the worker.
        run: Arc<str>,
        /// Permit that the run holds.
        permit: Permit,
    },
    /// Save the progress of a run and stop it.
    Checkpoint(Arc<str>),
    /// Stop a run.
    Stop(Arc<str>),
    /// Limit a run to this percentage of its full speed.
    Throttle(Arc<str>, u32),
}
