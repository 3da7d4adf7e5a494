use std::time::Duration;

use super::{Scheduler, start};
use crate::clock::Instant;
use crate::fleet::WorkspaceId;
use crate::jobs::{Action, JobId, Reason, Size};

/// Fraction of a job by which a workspace must deviate from its fair share before it gains or
/// loses that job. Above one half, since two workspaces would otherwise pass one job back and
/// forth.
const MIN_DEVIATION_JOBS: f64 = 0.6;

/// Time constant of the mean deviation from the fair share; well below the minute over which
/// shares are measured.
const DEVIATION_TIME_CONSTANT: Duration = Duration::from_secs(15);

/// Maximum number of jobs of one workspace examined per call; to reclaim more takes several calls.
const MAX_EXAMINED_JOBS: usize = 512;

/// A job is large if it needs more than the largest worker divided by this. Room for a large job
/// is made on one worker, because resources freed on several workers would not add up.
const LARGE_JOB_DIVISOR: u64 = 4;

impl Scheduler {
    /// Computes by how much each workspace is above its fair share: the present deviation plus the
    /// mean of the recent past. Without the mean, a workspace with large jobs would stay half a
    /// job off its share; with it, a job that cannot be divided alternates between workspaces.
    pub(super) fn measure_surplus(&mut self, now: Instant) {
        let capacity = self.shared_capacity();
        let elapsed =
            now.since(self.last_balance).as_secs_f64() / DEVIATION_TIME_CONSTANT.as_secs_f64();
        self.last_balance = now;
        let rate = 1.0 - (-elapsed).exp();
        let entitled = self.fairness.entitlements(capacity);
        self.surplus.clear();
        for (workspace, share) in (0..).map(WorkspaceId).zip(entitled) {
            let used = self.fairness.used(workspace);
            let deviation = used.dominant_share(capacity) - share;
            let mean_deviation = self
                .fairness
                .update_mean_deviation(workspace, deviation, rate, capacity);
            let remaining = used - self.releasing[workspace.index()];
            self.surplus
                .push(remaining.dominant_share(capacity) - share + mean_deviation);
        }
    }

    /// Returns whether the workspace of a job is so far above its fair share that the job may be
    /// reclaimed.
    pub(super) fn is_reclaimable(&self, id: JobId) -> bool {
        let job = &self.jobs[id.0];
        let surplus = self.surplus.get(job.spec.workspace.index()).copied();
        surplus.unwrap_or(0.0) >= MIN_DEVIATION_JOBS * self.share_of(job.charge)
    }

    /// Returns the dominant share of the shared capacity that a job of `size` is charged for.
    pub(super) fn share_of(&self, size: Size) -> f64 {
        self.fairness
            .charged_size(size)
            .dominant_share(self.shared_capacity())
    }

    /// Checkpoints jobs of workspaces above their fair share, for workspaces below theirs whose
    /// jobs do not fit.
    pub(super) fn reclaim(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        let mut need = Size::ZERO;
        for index in 0..self.surplus.len() {
            let workspace = WorkspaceId(u32::try_from(index).unwrap_or(u32::MAX));
            if !self.stalled[index] || !self.fairness.below_limit(workspace) {
                continue;
            }
            let next_jobs: Vec<(JobId, Size)> = self.workspace_queues[index]
                .iter()
                .filter(|id| self.is_ready(**id))
                .take(start::LOOK_AHEAD_JOBS)
                .map(|id| (*id, self.jobs[id.0].charge))
                .collect();
            let Some((_, first_size)) = next_jobs.first().copied() else {
                continue;
            };
            let missing_jobs =
                -self.surplus[index] / self.share_of(first_size) + 1.0 - MIN_DEVIATION_JOBS;
            let missing_jobs = missing_jobs.floor().max(0.0) as u64;
            if missing_jobs > 0 && self.is_large(first_size) {
                for (id, size) in next_jobs
                    .into_iter()
                    .take(usize::try_from(missing_jobs).unwrap_or(1))
                {
                    if !self.earmarks.contains_key(&id) {
                        actions.extend(self.make_room(id, size, false, now));
                    }
                }
            } else {
                let size = self.fairness.charged_size(first_size);
                let times = |n: u64| n.saturating_mul(missing_jobs);
                need = need + Size::new(times(size.processors), times(size.memory), 0);
            }
        }
        actions.extend(self.reclaim_resources(need, now));
        actions
    }

    /// Returns whether a job of `size` needs accelerators or a large part of a worker.
    fn is_large(&self, size: Size) -> bool {
        let largest = self.placement.largest_capacity(0);
        size.accelerators > 0
            || size.processors > largest.processors / LARGE_JOB_DIVISOR
            || size.memory > largest.memory / LARGE_JOB_DIVISOR
    }

    /// Checkpoints jobs without accelerators on any worker, until `need` is about to be released.
    fn reclaim_resources(&mut self, mut need: Size, now: Instant) -> Vec<Action> {
        need = need - self.releasing.iter().fold(Size::ZERO, |a, s| a + *s);
        // Free memory lowers the need, because it is rarely fragmented. Free processors do not,
        // because the waiting jobs did not fit there.
        let free = self.schedulable_capacity() - self.placement.reserved();
        need.memory = need.memory.saturating_sub(free.memory);
        let mut actions = Vec::new();
        if need == Size::ZERO {
            return actions;
        }
        let mut over_share: Vec<WorkspaceId> =
            (0..).map(WorkspaceId).take(self.surplus.len()).collect();
        over_share.retain(|workspace| self.surplus[workspace.index()] > 0.0);
        over_share.sort_by(|a, b| self.surplus[b.index()].total_cmp(&self.surplus[a.index()]));
        for workspace in over_share {
            let newest: Vec<JobId> = self.placed_by_workspace[workspace.index()]
                .iter()
                .rev()
                .take(MAX_EXAMINED_JOBS)
                .map(|(_, id)| *id)
                .collect();
            for id in newest {
                let job = &self.jobs[id.0];
                if need == Size::ZERO || !self.is_reclaimable(id) {
                    break;
                }
                if job.spec.urgent || job.charge.accelerators > 0 {
                    continue;
                }
                let charge = job.charge;
                if let Some(action) = self.request_checkpoint(id, Reason::Reclaimed, now) {
                    actions.push(action);
                    need = need - charge;
                }
            }
        }
        actions
    }
}
