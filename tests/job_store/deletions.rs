use std::sync::Arc;
use std::time::Duration;

use coriandernotch::clock::{self, Instant};
use coriandernotch::job_store::{Deletions, Partition};

const RETENTION: Duration = Duration::from_secs(120);

/// Jobs a second in calm.
const RATE: u64 = 56;

fn id(number: u64) -> Arc<str> {
    format!("{number:016x}").into()
}

/// Guards against a call of the store for each ended job, now that their partitions are many: the
/// calls for a job must not grow by more than a tenth.
#[test]
fn deletes_many_jobs_with_one_call() {
    let begun = clock::now();
    let mut deletions = Deletions::new(RETENTION);
    let (mut calls, mut deleted) = (0, 0);
    for second in 0..1_200 {
        let now = begun + Duration::from_secs(second);
        deletions.add((second * RATE..(second + 1) * RATE).map(id).collect(), now);
        while let Some((partition, jobs)) = deletions.take_batch(now) {
            assert!(jobs.iter().all(|job| Partition::of_job(job) == partition));
            assert!(jobs.len() <= 30, "a transaction holds at most 100 entries");
            calls += 1;
            deleted += jobs.len();
        }
    }
    assert!(deleted > 60_000, "{deleted}");
    assert!(calls * 10 <= deleted, "{calls} calls for {deleted} jobs");
}

/// Guards against jobs that are never deleted because few others are in their partition.
#[test]
fn deletes_a_single_job_in_the_end() {
    let now = clock::now();
    let mut deletions = Deletions::new(RETENTION);
    deletions.add(vec![id(1)], now);
    let take = |deletions: &mut Deletions, now: Instant| deletions.take_batch(now);
    assert_eq!(take(&mut deletions, now + RETENTION), None);
    let (partition, jobs) = take(&mut deletions, now + RETENTION * 11).unwrap();
    assert_eq!(
        (partition, &*jobs),
        (Partition::of_job(&id(1)), &[id(1)][..])
    );
    assert_eq!(take(&mut deletions, now + RETENTION * 22), None);
}

/// Guards against a deletion of the progress of jobs that are still stored.
#[test]
fn deletes_progress_only_of_cleared_jobs() {
    let mut deletions = Deletions::new(RETENTION);
    let partition = Partition::of_progress(&id(1));
    deletions.add(vec![id(1)], clock::now());
    assert!(deletions.take_cleared(partition, 10).is_empty());
    deletions.record_cleared(vec![id(1)], 7);
    assert!(deletions.take_cleared(partition, 0).is_empty());
    assert_eq!(deletions.take_cleared(partition, 10), [(id(1), 7)]);
    assert!(!deletions.has_cleared());
}
