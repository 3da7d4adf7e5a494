use super::Voter;

/// The limit of one workspace, split into quotas of the voters of one version.
///
/// Each of `n` voters has a quota of `limit / n` permits, and the `limit % n` voters with the
/// highest rendezvous hash for this workspace have one more. Adding or removing a voter, or
/// changing the limit, therefore moves the minimum number of permits, and the quotas sum exactly
/// to the limit.
///
/// Memory: 4 bytes per voter. Time of a split: one hash per voter and one selection over the
/// voters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Allocation {
    quotas: Box<[u32]>,
    limit: u32,
}

impl Allocation {
    /// Splits `limit` over `voters`; the quotas are in the order of `voters`.
    ///
    /// ```
    /// use coriandernotch::limit::{Allocation, Voter};
    ///
    /// let voters = [Voter::new("a", 1), Voter::new("b", 1), Voter::new("c", 1)];
    /// let allocation = Allocation::split("quotes", 10, &voters);
    /// assert_eq!(allocation.quotas().iter().sum::<u32>(), 10);
    /// assert!(allocation.quotas().iter().all(|q| (3..=4).contains(q)));
    /// ```
    pub fn split(workspace: &str, limit: u32, voters: &[Voter]) -> Self {
        let hashes: Vec<u64> = voters.iter().map(super::hash_voter).collect();
        Self::split_hashed(workspace, limit, &hashes)
    }

    /// Splits `limit` over voters given by their hashes, which are computed once per version.
    pub(super) fn split_hashed(workspace: &str, limit: u32, voter_hashes: &[u64]) -> Self {
        let count = u32::try_from(voter_hashes.len()).unwrap_or(u32::MAX).max(1);
        let (base, extra) = (limit / count, (limit % count) as usize);
        let mut quotas = vec![base; voter_hashes.len()].into_boxed_slice();
        if extra > 0 && extra < voter_hashes.len() {
            let seed = super::hash(0, workspace.as_bytes());
            let mut order: Vec<(u64, usize)> = voter_hashes
                .iter()
                .enumerate()
                .map(|(i, hash)| (super::mix(seed ^ hash), i))
                .collect();
            order.select_nth_unstable_by(extra - 1, |a, b| b.cmp(a));
            order[..extra].iter().for_each(|&(_, i)| quotas[i] += 1);
        }
        Self { quotas, limit }
    }

    /// Returns the quotas in the order of the voters.
    ///
    /// ```
    /// assert!(coriandernotch::limit::Allocation::split("quotes", 4, &[]).quotas().is_empty());
    /// ```
    pub fn quotas(&self) -> &[u32] {
        &self.quotas
    }

    /// Returns the limit that was split.
    ///
    /// ```
    /// assert_eq!(coriandernotch::limit::Allocation::split("quotes", 4, &[]).limit(), 4);
    /// ```
    pub fn limit(&self) -> u32 {
        self.limit
    }
}
