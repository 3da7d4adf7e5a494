use super::{Size, progressive_filling};
use crate::fleet::WorkspaceId;

/// Weighted dominant resource fairness between workspaces.
///
/// A workspace may use more than its fair share while others are idle. [`Fairness::entitlements`]
/// returns how much each is entitled to, given the present demand of all.
#[derive(Clone, Debug, Default)]
pub struct Fairness {
    workspaces: Vec<Account>,
    /// Processors and memory per accelerator of a worker.
    per_accelerator: Size,
    /// Processors and memory in use that are not charged, because they come with accelerators.
    uncharged: Size,
}

/// Limits, usage and demand of one workspace.
#[derive(Clone, Copy, Debug, Default)]
struct Account {
    weight: u32,
    /// Maximum number of running jobs.
    limit: u32,
    /// Resources charged for running jobs.
    used: Size,
    running: u32,
    /// Resources to be charged for waiting jobs.
    requested: Size,
    waiting: u32,
    /// Decaying mean of the deviation from the fair share, positive above it.
    mean_deviation: f64,
}

impl Fairness {
    /// Sets the weight of a workspace and its limit on running jobs.
    ///
    /// ```
    /// use coriandernotch::fleet::WorkspaceId;
    /// use coriandernotch::jobs::{Fairness, Size};
    ///
    /// let mut fairness = Fairness::default();
    /// for workspace in [WorkspaceId(0), WorkspaceId(1)] {
    ///     fairness.set_workspace(workspace, 1, 10);
    ///     fairness.add_waiting(workspace, Size::new(50, 1, 0));
    ///     fairness.add_waiting(workspace, Size::new(50, 1, 0));
    /// }
    /// fairness.add_running(WorkspaceId(0), Size::new(50, 1, 0));
    /// let capacity = Size::new(100, 100, 0);
    /// assert_eq!(fairness.next_workspace(capacity, |_| true), Some(WorkspaceId(1)));
    /// assert!((fairness.entitlements(capacity)[0] - 0.5).abs() < 0.001);
    /// ```
    pub fn set_workspace(&mut self, workspace: WorkspaceId, weight: u32, limit: u32) {
        if self.workspaces.len() <= workspace.index() {
            self.workspaces
                .resize(workspace.index() + 1, Account::default());
        }
        let account = &mut self.workspaces[workspace.index()];
        (account.weight, account.limit) = (weight, limit);
    }

    /// Sets the processors and memory per accelerator. Only the first nonzero value is kept.
    pub fn set_per_accelerator(&mut self, per_accelerator: Size) {
        if self.per_accelerator == Size::ZERO {
            self.per_accelerator = per_accelerator;
        }
    }

    /// Returns the resources that a job is charged for: its size without the processors and memory
    /// that come with its accelerators. If these were charged, workspaces without accelerators
    /// would fill the processors next to accelerators, which would then stand idle.
    ///
    /// ```
    /// use coriandernotch::jobs::{Fairness, Size};
    ///
    /// let mut fairness = Fairness::default();
    /// fairness.set_per_accelerator(Size::new(8_000, 32_768, 0));
    /// assert_eq!(fairness.charged_size(Size::new(20_000, 9, 2)), Size::new(4_000, 0, 2));
    /// ```
    pub fn charged_size(&self, size: Size) -> Size {
        let included = |per_accelerator: u64| per_accelerator * size.accelerators;
        size - Size::new(
            included(self.per_accelerator.processors),
            included(self.per_accelerator.memory),
            0,
        )
    }

    /// Returns the processors of a size plus those that come with its accelerators.
    pub fn processors_with_accelerators(&self, size: Size) -> u64 {
        size.processors + self.per_accelerator.processors * size.accelerators
    }

    /// Returns the processors and memory in use that are not charged to any workspace, because
    /// they come with accelerators.
    pub fn uncharged(&self) -> Size {
        self.uncharged
    }

    /// Returns the limit of a workspace on running jobs, or `None` if the workspace is unknown.
    pub fn limit(&self, workspace: WorkspaceId) -> Option<u32> {
        self.workspaces.get(workspace.index()).map(|a| a.limit)
    }

    /// Returns the number of known workspaces.
    pub fn len(&self) -> usize {
        self.workspaces.len()
    }

    /// Returns whether no workspace is known.
    pub fn is_empty(&self) -> bool {
        self.workspaces.is_empty()
    }

    /// Returns the number of jobs of a workspace with a reservation on a worker.
    pub fn running(&self, workspace: WorkspaceId) -> u32 {
        self.workspaces[workspace.index()].running
    }

    /// Returns the number of waiting jobs of a workspace, not counting urgent ones.
    pub fn waiting(&self, workspace: WorkspaceId) -> u32 {
        self.workspaces[workspace.index()].waiting
    }

    /// Returns the resources charged to a workspace for running jobs.
    pub fn used(&self, workspace: WorkspaceId) -> Size {
        self.workspaces[workspace.index()].used
    }

    /// Returns whether the limit of a workspace allows one more running job.
    pub fn below_limit(&self, workspace: WorkspaceId) -> bool {
        let account = &self.workspaces[workspace.index()];
        account.running < account.limit
    }

    /// Adds a waiting job to the demand of its workspace.
    pub fn add_waiting(&mut self, workspace: WorkspaceId, size: Size) {
        let size = self.charged_size(size);
        let account = &mut self.workspaces[workspace.index()];
        account.requested = account.requested + size;
        account.waiting += 1;
    }

    /// Removes a waiting job from the demand of its workspace.
    pub fn remove_waiting(&mut self, workspace: WorkspaceId, size: Size) {
        let size = self.charged_size(size);
        let account = &mut self.workspaces[workspace.index()];
        account.requested = account.requested - size;
        account.waiting = account.waiting.saturating_sub(1);
    }

    /// Adds a job with a reservation to the usage of its workspace.
    pub fn add_running(&mut self, workspace: WorkspaceId, size: Size) {
        self.resize(workspace, Size::ZERO, size);
        self.workspaces[workspace.index()].running += 1;
    }

    /// Removes a job with a reservation from the usage of its workspace.
    pub fn remove_running(&mut self, workspace: WorkspaceId, size: Size) {
        self.resize(workspace, size, Size::ZERO);
        let account = &mut self.workspaces[workspace.index()];
        account.running = account.running.saturating_sub(1);
    }

    /// Replaces the reservation `old` of one job by `new`.
    pub fn resize(&mut self, workspace: WorkspaceId, old: Size, new: Size) {
        let (old_charge, new_charge) = (self.charged_size(old), self.charged_size(new));
        let account = &mut self.workspaces[workspace.index()];
        account.used = account.used - old_charge + new_charge;
        self.uncharged = self.uncharged - (old - old_charge) + (new - new_charge);
    }

    /// Moves the mean deviation of a workspace from its fair share towards the present
    /// `deviation`, by the fraction `rate` of the difference, and returns it. It is clamped to one
    /// job of mean size, since whole jobs cannot keep closer to the share.
    pub fn update_mean_deviation(
        &mut self,
        workspace: WorkspaceId,
        deviation: f64,
        rate: f64,
        capacity: Size,
    ) -> f64 {
        let account = &mut self.workspaces[workspace.index()];
        let mean_job = account.used.dominant_share(capacity) / f64::from(account.running.max(1));
        account.mean_deviation = (account.mean_deviation
            + rate * (deviation - account.mean_deviation))
            .clamp(-mean_job, mean_job);
        account.mean_deviation
    }

    /// Returns the dominant share of a workspace, corrected by its mean deviation from the fair
    /// share, divided by its weight.
    pub fn weighted_share(&self, workspace: WorkspaceId, capacity: Size) -> f64 {
        let account = &self.workspaces[workspace.index()];
        (account.used.dominant_share(capacity) + account.mean_deviation)
            / f64::from(account.weight.max(1))
    }

    /// Returns the workspace with the lowest weighted share among those that have waiting jobs,
    /// are below their limit and satisfy `is_eligible`.
    pub fn next_workspace(
        &self,
        capacity: Size,
        is_eligible: impl Fn(WorkspaceId) -> bool,
    ) -> Option<WorkspaceId> {
        (0..)
            .map(WorkspaceId)
            .zip(&self.workspaces)
            .filter(|(id, a)| a.waiting > 0 && a.running < a.limit && is_eligible(*id))
            .map(|(id, _)| (self.weighted_share(id, capacity), id))
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, id)| id)
    }

    /// Returns the dominant share that each workspace is entitled to, given the usage and demand
    /// of all.
    pub fn entitlements(&self, capacity: Size) -> Vec<f64> {
        let demands: Vec<_> = self.workspaces.iter().map(|a| a.demand(capacity)).collect();
        progressive_filling(&demands)
    }

    /// Returns the memory used in bytes.
    pub fn footprint(&self) -> usize {
        self.workspaces.capacity() * size_of::<Account>()
    }
}

impl Account {
    /// Returns the weight and the fraction of each resource in use or requested, scaled down to
    /// the jobs that the limit allows to run.
    fn demand(&self, capacity: Size) -> (f64, [f64; 3]) {
        let fractions = (self.used + self.requested).fractions(capacity);
        let jobs = f64::from((self.running + self.waiting).max(1));
        let runnable = (f64::from(self.limit) / jobs).min(1.0);
        (f64::from(self.weight), fractions.map(|x| x * runnable))
    }
}
