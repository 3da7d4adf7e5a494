use tokio::sync::{mpsc, oneshot};

use super::committed::Committed;
use super::part;
use super::submission::Submission;
use crate::collections::Map;

/// Ways to the tasks that store jobs, one for each partition.
pub(super) struct Committer(Map<String, mpsc::Sender<Submission>>);

/// Submissions that wait for one partition; more are refused.
const WAITING: usize = 512;

/// Ends of the ways that the tasks read.
pub(super) type Receivers = Vec<(String, mpsc::Receiver<Submission>)>;

impl Committer {
    pub(super) fn new() -> (Self, Receivers) {
        let mut senders = Map::default();
        let mut receivers = Vec::new();
        for part in part::all() {
            let (sender, receiver) = mpsc::channel(WAITING);
            senders.insert(part.clone(), sender);
            receivers.push((part, receiver));
        }
        (Self(senders), receivers)
    }

    /// Stores a job unless it is stored already.
    pub(super) async fn commit(&self, key: &str, content: Vec<u8>) -> Committed {
        let (done, result) = oneshot::channel();
        let submission = Submission {
            key: key.to_owned(),
            content,
            done,
        };
        let Some(sender) = self.0.get(&part::of(key)) else {
            return Committed::Refused;
        };
        if sender.try_send(submission).is_err() {
            return Committed::Refused;
        }
        result.await.unwrap_or(Committed::Unknown)
    }
}
