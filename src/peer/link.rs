use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};

use super::ask::Ask;
use crate::config::Voter;
use crate::wire::Body;

/// Messages that wait for one peer; beyond that a slow peer loses messages, which all kinds of
/// messages allow.
const QUEUE: usize = 256;

/// A connected peer.
#[derive(Clone, Debug)]
pub struct Link {
    voter: Voter,
    data_centre: Arc<str>,
    queue: mpsc::Sender<Ask>,
}

impl Link {
    pub(super) fn new(voter: Voter, data_centre: &str) -> (Self, mpsc::Receiver<Ask>) {
        let (queue, asks) = mpsc::channel(QUEUE);
        (
            Self {
                voter,
                data_centre: data_centre.into(),
                queue,
            },
            asks,
        )
    }

    /// Returns the life of the peer.
    pub fn voter(&self) -> &Voter {
        &self.voter
    }

    /// Returns the data centre of the peer.
    pub fn data_centre(&self) -> &Arc<str> {
        &self.data_centre
    }

    pub(super) fn is_same(&self, other: &Self) -> bool {
        self.queue.same_channel(&other.queue)
    }

    /// Sends a message, unless the peer is too slow to take it. Returns whether it was queued.
    pub fn tell(&self, body: Body) -> bool {
        self.queue.try_send(Ask { body, reply: None }).is_ok()
    }

    /// Sends a message and waits for the reply, at most `limit`.
    pub async fn ask(&self, body: Body, limit: Duration) -> Option<Body> {
        let (sender, reply) = oneshot::channel();
        self.queue
            .try_send(Ask {
                body,
                reply: Some(sender),
            })
            .ok()?;
        tokio::time::timeout(limit, reply).await.ok()?.ok()
    }
}
