use std::net::SocketAddr;

use tokio::sync::mpsc::UnboundedSender;

use super::order::Order;
use crate::clock::Instant;
use crate::jobs::WorkerId;

/// A worker of a held queue.
pub(super) struct Site {
    pub(super) address: SocketAddr,
    pub(super) orders: UnboundedSender<Order>,
    /// Place in the scheduler, once the worker rejects earlier holders, and since when it does.
    pub(super) ready: Option<(WorkerId, Instant)>,
    /// When the platform's list last showed it.
    pub(super) listed: Instant,
    /// Whether it may get work: listed as live and reachable.
    pub(super) open: bool,
    pub(super) live: bool,
    pub(super) reachable: bool,
}
