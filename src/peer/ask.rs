use tokio::sync::oneshot;

use crate::wire::Body;

/// A message for a peer, with the place for its reply when one is expected.
#[derive(Debug)]
pub(super) struct Ask {
    pub(super) body: Body,
    pub(super) reply: Option<oneshot::Sender<Body>>,
}
