use coriandernotch::limit::{Allocation, Voter};

/// Guards against permits created or lost by the split, and against uneven quotas.
#[test]
fn sum_is_exactly_the_limit() {
    for (count, limit) in [
        (1, 7),
        (2, 0),
        (3, 1),
        (8, 8),
        (8, 9),
        (136, 5),
        (136, 1_000),
    ] {
        let voters = voters(count);
        for workspace in ["quotes", "pickups", ""] {
            let allocation = Allocation::split(workspace, limit, &voters);
            assert_eq!(
                allocation.quotas().iter().sum::<u32>(),
                limit,
                "{count} {limit} {workspace}"
            );
            let even = limit / count..=limit.div_ceil(count);
            assert!(allocation.quotas().iter().all(|quota| even.contains(quota)));
        }
    }
}

/// Guards against a split that moves more permits than necessary when a voter is removed or
/// restarted or when the limit changes.
#[test]
fn membership_changes_move_the_fewest_permits() {
    let limits = (0..40).chain([135, 136, 137, 999, 1_000]);
    for (limit, count) in limits.flat_map(|l| [2, 3, 8, 17, 136].map(|c| (l, c))) {
        let voters = voters(count);
        let before = Allocation::split("quotes", limit, &voters);
        for gone in [0, count as usize / 2, count as usize - 1] {
            let mut rest = voters.clone();
            rest.remove(gone);
            let after = Allocation::split("quotes", limit, &rest);
            let mut quotas = before.quotas().to_vec();
            let freed = quotas.remove(gone);
            assert_eq!(
                moved(&quotas, after.quotas()),
                freed,
                "{limit} without {gone} of {count}"
            );

            let mut restarted = voters.clone();
            restarted[gone].incarnation += 1;
            let after = Allocation::split("quotes", limit, &restarted);
            let fewest = freed.max(after.quotas()[gone]);
            assert!(
                moved(before.quotas(), after.quotas()) <= fewest,
                "{limit} of {count}"
            );
        }
        let raised = Allocation::split("quotes", limit + 1, &voters);
        assert_eq!(
            moved(before.quotas(), raised.quotas()),
            1,
            "{limit} over {count}"
        );
    }
}

/// Guards against a voter that gets the remainder of the division for most workspaces.
#[test]
fn remainder_permits_are_spread_over_voters() {
    let voters = voters(8);
    let mut held = [0; 8];
    for workspace in 0..800 {
        let allocation = Allocation::split(&format!("workspace-{workspace}"), 1, &voters);
        held.iter_mut()
            .zip(allocation.quotas())
            .for_each(|(h, s)| *h += s);
    }
    assert!(held.iter().all(|h| (60..140).contains(h)), "{held:?}");
}

fn voters(count: u32) -> Vec<Voter> {
    (0..count)
        .map(|i| Voter::new(&format!("entry-{i:03}"), 1))
        .collect()
}

/// Returns how many permits voters gained, summed over voters.
fn moved(before: &[u32], after: &[u32]) -> u32 {
    before
        .iter()
        .zip(after)
        .map(|(b, a)| a.saturating_sub(*b))
        .sum()
}
