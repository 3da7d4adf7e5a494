use std::net::SocketAddr;

use tokio::sync::mpsc::UnboundedSender;

use super::command::Command;
use crate::clock::Instant;
use crate::jobs::WorkerId;

/// Handle of a holder to a worker and to the client task that talks to it.
pub(super) struct Handle {
    pub(super) address: SocketAddr,
    pub(super) commands: UnboundedSender<Command>,
    /// Key in the scheduler and when it was assigned, once the worker rejects earlier holders.
    pub(super) ready: Option<(WorkerId, Instant)>,
    /// When the platform's instance list last contained the worker.
    pub(super) listed_at: Instant,
    /// Whether the worker may get new runs: recently listed, live and reachable.
    pub(super) available: bool,
    /// Whether the platform lists the worker as live.
    pub(super) live: bool,
    /// Whether the worker responded in the last round of its client.
    pub(super) reachable: bool,
}
