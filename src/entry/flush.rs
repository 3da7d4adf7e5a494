//! The task that stores changes of jobs while this instance leads.

use std::sync::Arc;
use std::time::Duration;

use super::partition::Partition;
use super::shared::Shared;
use super::term::Term;
use crate::clock::{self, Instant};
use crate::job_store::Class;

/// Delay before changes that callers wait for are stored, so that several share a transaction.
const URGENT_FLUSH_DELAY: Duration = Duration::from_millis(15);

/// Delay before other changes are stored.
const FLUSH_DELAY: Duration = Duration::from_millis(45);

/// Maximum time for which changes that nobody waits for are held back by submissions of jobs.
const MAX_HELD_BACK: Duration = Duration::from_secs(1);

/// Stores changes of jobs while this instance leads, and all that are left when it resigns.
///
/// A leader that resigns waits for the end of this task. If it aborted the task, a write might be under
/// way whose number the next one would bear as well, and either would be taken for the other.
pub(super) async fn flush(shared: Arc<Shared>, term: Arc<Term>) {
    let mut partitions = Partition::all(&term);
    let mut held_back_since: Option<Instant> = None;
    while !term.is_resigning() {
        let urgent = term.engine().has_changes_to_store();
        let urgent = urgent.or_else(|| term.deletions().has_cleared().then_some(false));
        match urgent {
            Some(true) => tokio::time::sleep(URGENT_FLUSH_DELAY).await,
            Some(false) => tokio::time::sleep(FLUSH_DELAY).await,
            None => {
                let wait = tokio::time::timeout(Duration::from_secs(1), term.flush_wake.notified());
                let _ = wait.await;
                continue;
            }
        }
        if urgent == Some(false) && !shared.committer.may_send(Class::Background) {
            let now = clock::now();
            if now.since(*held_back_since.get_or_insert(now)) < MAX_HELD_BACK {
                continue;
            }
        }
        held_back_since = None;
        flush_all(&mut partitions, &shared, &term).await;
    }
    // No write is under way, so the store has refused what is not confirmed. It is tried once more.
    term.engine().queue_unconfirmed_changes();
    while term.engine().has_changes_to_store().is_some() && !term.has_ended() {
        flush_all(&mut partitions, &shared, &term).await;
    }
}

/// Stores the changes of all partitions at the same time.
async fn flush_all(partitions: &mut [Partition], shared: &Shared, term: &Term) {
    let flushes = partitions
        .iter_mut()
        .map(|partition| partition.flush(shared, term));
    futures_util::future::join_all(flushes).await;
}
