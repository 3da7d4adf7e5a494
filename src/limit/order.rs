use super::{PeerId, Request};

/// A request to send to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Order {
    /// Receiver.
    pub to: PeerId,
    /// What to send.
    pub request: Request,
}
