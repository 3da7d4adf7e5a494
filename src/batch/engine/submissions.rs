use std::sync::Arc;

use crate::collections::Map;

/// Time for which submissions are counted, in milliseconds. A new leader reads older jobs late.
const COUNTED_FOR_MS: u64 = 60_000;

/// Number of jobs that each workspace submitted, by second of arrival.
#[derive(Clone, Debug, Default)]
pub(super) struct Submissions(Map<(Arc<str>, u64), u64>);

impl Submissions {
    /// Counts an arrived job. Returns whether its workspace exceeded its weight, which is the
    /// number of jobs a second that it is entitled to; 0 means no limit.
    pub(super) fn count(&mut self, workspace: &Arc<str>, weight: u64, arrived_ms: u64) -> bool {
        let key = (workspace.clone(), arrived_ms / 1_000);
        let count = self.0.entry(key).or_default();
        *count += 1;
        weight > 0 && *count > weight
    }

    /// Returns the workspaces whose weight does not allow another job in a second.
    pub(super) fn exhausted(
        &self,
        second: u64,
        weight: impl Fn(&Arc<str>) -> u64,
    ) -> impl Iterator<Item = Arc<str>> {
        let counts = self.0.iter();
        counts.filter_map(move |((workspace, at), count)| {
            let weight = weight(workspace);
            (*at == second && weight > 0 && *count >= weight).then(|| workspace.clone())
        })
    }

    /// Removes the counts of old submissions.
    pub(super) fn remove_old(&mut self, wall_ms: u64) {
        let oldest = wall_ms.saturating_sub(COUNTED_FOR_MS) / 1_000;
        self.0.retain(|(_, second), _| *second >= oldest);
    }
}
