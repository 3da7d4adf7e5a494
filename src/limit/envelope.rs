use super::{PeerId, Request};

/// A request to send to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Envelope {
    /// Peer that receives the request.
    pub to: PeerId,
    /// Request to send.
    pub request: Request,
}
