use tokio::sync::{mpsc, oneshot};

use super::acceptance::Acceptance;
use super::partition;
use super::submission::Submission;
use crate::collections::Map;

/// Channels to the tasks that store jobs, one for each partition.
pub(super) struct Committer(Map<String, mpsc::Sender<Submission>>);

/// Maximum number of submissions that wait for one partition; further ones are refused.
const MAX_WAITING: usize = 512;

/// Receiving ends of the channels, with the names of their partitions.
pub(super) type Receivers = Vec<(String, mpsc::Receiver<Submission>)>;

impl Committer {
    pub(super) fn new() -> (Self, Receivers) {
        let mut senders = Map::default();
        let mut receivers = Vec::new();
        for partition in partition::all() {
            let (sender, receiver) = mpsc::channel(MAX_WAITING);
            senders.insert(partition.clone(), sender);
            receivers.push((partition, receiver));
        }
        (Self(senders), receivers)
    }

    /// Stores a job unless it is already stored.
    pub(super) async fn commit(&self, key: &str, content: Vec<u8>) -> Acceptance {
        let (reply, result) = oneshot::channel();
        let submission = Submission {
            key: key.to_owned(),
            content,
            reply,
        };
        let Some(sender) = self.0.get(&partition::of(key)) else {
            return Acceptance::Refused;
        };
        if sender.try_send(submission).is_err() {
            return Acceptance::Refused;
        }
        result.await.unwrap_or(Acceptance::Unknown)
    }
}
