use std::collections::BTreeMap;

use coriandernotch::job_store::Partition;

/// Number of jobs in a partition on average.
const MEAN: usize = 40;

/// Largest number of jobs in a partition. Of 256 partitions with 40 random jobs each on average, none
/// has more with a probability above 0.99.
const MAX: usize = 68;

fn largest(ids: impl Iterator<Item = String>) -> usize {
    let mut counts = BTreeMap::new();
    for id in ids {
        *counts.entry(Partition::of_job(&id)).or_insert(0) += 1;
    }
    assert_eq!(counts.len(), 256);
    counts.into_values().max().unwrap()
}

/// Guards against ids that fall into few partitions, as numbers with a common step did with a sum.
#[test]
fn spreads_ids_over_all_partitions() {
    let count = 256 * MEAN as u64;
    for step in [1, 2, 16, 256, 4_096, 0x9e37_79b9] {
        let hex = largest((0..count).map(|n| format!("{:016x}", n * step)));
        assert!(hex <= MAX, "hexadecimal numbers in steps of {step}: {hex}");
        let words = largest((0..count).map(|n| format!("job-{}-{}", n * step, n % 7)));
        assert!(words <= MAX, "words in steps of {step}: {words}");
    }
}

/// Guards against a change of the partitions of stored jobs, which would no longer be found.
#[test]
fn keeps_the_partitions_of_stored_jobs() {
    let names = |id| [Partition::of_job(id), Partition::of_progress(id)].map(Partition::name);
    assert_eq!(names("00000000000000a1"), ["s035", "j0"]);
    assert_eq!(names("00000000000000a2"), ["s232", "j1"]);
}
