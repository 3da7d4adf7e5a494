use std::sync::{Arc, Mutex};

use tokio::sync::oneshot;

use super::acceptance::Acceptance;
use super::commit;
use super::shared::Shared;
use super::submission::Submission;
use crate::collections::Map;
use crate::intake::Partition;

/// Maximum number of submissions that wait for one partition; further ones are refused.
const MAX_WAITING: usize = 512;

/// Submissions that wait for the task that stores those of their partition. Such a task exists only
/// while there are any.
#[derive(Default)]
pub(super) struct Committer(Mutex<Map<Partition, Vec<Submission>>>);

impl Committer {
    /// Stores a job unless it is already stored.
    pub(super) async fn commit(
        &self,
        shared: &Arc<Shared>,
        key: &str,
        content: Vec<u8>,
    ) -> Acceptance {
        let (reply, result) = oneshot::channel();
        let submission = Submission {
            key: key.to_owned(),
            content,
            reply,
        };
        if !self.add(shared, submission) {
            return Acceptance::Refused;
        }
        result.await.unwrap_or(Acceptance::Unknown)
    }

    /// Adds a submission and spawns the task of its partition if there is none. Returns false if too
    /// many wait.
    fn add(&self, shared: &Arc<Shared>, submission: Submission) -> bool {
        let partition = Partition::of_job(&submission.key);
        let mut partitions = self.0.lock().expect("committer lock");
        if let Some(waiting) = partitions.get_mut(&partition) {
            if waiting.len() >= MAX_WAITING {
                return false;
            }
            waiting.push(submission);
        } else {
            partitions.insert(partition, vec![submission]);
            tokio::spawn(commit::store(shared.clone(), partition));
        }
        true
    }

    /// Takes up to `limit` submissions of a partition. None are left if the result is empty, and the
    /// next one spawns another task.
    pub(super) fn take(&self, partition: Partition, limit: usize) -> Vec<Submission> {
        let mut partitions = self.0.lock().expect("committer lock");
        let Some(waiting) = partitions.get_mut(&partition) else {
            return Vec::new();
        };
        if waiting.is_empty() {
            partitions.remove(&partition);
            return Vec::new();
        }
        waiting.drain(..waiting.len().min(limit)).collect()
    }
}
