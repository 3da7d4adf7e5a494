mod adopt;
mod end;
mod preemption;
mod queue;
mod reclaim;
mod start;

use std::collections::{BTreeSet, VecDeque};

use slotmap::{DefaultKey, SlotMap};

use super::{
    Action, Fairness, Job, JobId, Placement, Quarantine, Reason, Retry, Size, Sizing, Standing,
    State, Tuning, Worker, WorkerId,
};
use crate::clock::Instant;
use crate::collections::Map;
use crate::fleet::{DataCentreId, WorkspaceId};

/// Scheduler of one queue of jobs on the workers that serve the queue.
///
/// ```
/// use coriandernotch::clock::Instant;
/// use coriandernotch::fleet::{DataCentreId, WorkspaceId};
/// use coriandernotch::jobs::{KindId, Outcome, RackId, Scheduler, Size, Spec, State, Tuning, Worker};
///
/// let now = Instant::default();
/// let mut scheduler = Scheduler::new(Tuning::default());
/// scheduler.add_worker(Worker::new(RackId(0), DataCentreId(0), Size::new(32_000, 65_536, 0)));
/// scheduler.set_workspace(WorkspaceId(0), 1, 100);
/// let spec = Spec {
///     workspace: WorkspaceId(0),
///     kind: KindId(0),
///     declared: Size::new(1_000, 1_024, 0),
///     urgent: false,
///     checkpoints: true,
/// };
/// let job = scheduler.submit(spec, now).unwrap();
/// let start = scheduler.next_start(now).unwrap();
/// assert_eq!((start.job, start.run), (job, 1));
/// scheduler.run_ended(job, 1, Outcome::Succeeded, now);
/// assert_eq!(scheduler.job(job).unwrap().state, State::Succeeded);
/// ```
#[derive(Debug)]
pub struct Scheduler {
    tuning: Tuning,
    retry: Retry,
    jobs: SlotMap<DefaultKey, Job>,
    placement: Placement,
    fairness: Fairness,
    sizing: Sizing,
    quarantine: Quarantine,
    /// Waiting jobs of each workspace, without urgent ones; the baseline policy keeps all jobs in
    /// the first queue. Cancelled jobs are removed later.
    workspace_queues: Vec<VecDeque<JobId>>,
    /// Number of jobs cancelled since each workspace queue was last cleaned up; an upper bound on
    /// the cancelled jobs in it.
    cancelled_counts: Vec<usize>,
    /// Waiting urgent jobs of all workspaces.
    urgent: VecDeque<JobId>,
    /// Jobs that return to the queue at a later time.
    delayed: BTreeSet<(Instant, JobId)>,
    /// Jobs with a reservation on each worker.
    jobs_by_worker: Vec<Vec<JobId>>,
    /// Jobs of each workspace with a reservation, by time of their start; the newest lose least
    /// when they are stopped.
    placed_by_workspace: Vec<BTreeSet<(Instant, JobId)>>,
    /// Resources of the jobs of each workspace that were asked to stop.
    releasing: Vec<Size>,
    /// By how much each workspace was above its fair share at the last balance, less what it was
    /// asked to give up since.
    surplus: Vec<f64>,
    last_balance: Instant,
    throttled_jobs: Vec<JobId>,
    /// Whether the next jobs of each workspace did not fit, since capacity was last freed.
    stalled: Vec<bool>,
    /// Earmarked worker of each job for which room was requested, and the time of the request. The
    /// free resources of an earmarked worker are set aside for the job.
    earmarks: Map<JobId, (WorkerId, Instant)>,
}

impl Scheduler {
    /// Creates a scheduler without workers and workspaces.
    pub fn new(tuning: Tuning) -> Self {
        Self {
            tuning,
            retry: Retry::default(),
            jobs: SlotMap::new(),
            placement: Placement::default(),
            fairness: Fairness::default(),
            sizing: Sizing::new(tuning.margin_percent, tuning.memory_margin_percent),
            quarantine: Quarantine::default(),
            workspace_queues: Vec::new(),
            cancelled_counts: Vec::new(),
            urgent: VecDeque::new(),
            delayed: BTreeSet::new(),
            jobs_by_worker: Vec::new(),
            placed_by_workspace: Vec::new(),
            releasing: Vec::new(),
            surplus: Vec::new(),
            last_balance: Instant::default(),
            throttled_jobs: Vec::new(),
            stalled: Vec::new(),
            earmarks: Map::default(),
        }
    }

    /// Adds a worker.
    pub fn add_worker(&mut self, worker: Worker) -> WorkerId {
        self.jobs_by_worker.push(Vec::new());
        self.clear_stalled();
        if let Some(size) = worker.per_accelerator() {
            self.fairness.set_per_accelerator(size);
        }
        self.placement.add(worker)
    }

    /// Sets the weight of a workspace and its limit on running jobs.
    pub fn set_workspace(&mut self, workspace: WorkspaceId, weight: u32, limit: u32) {
        self.fairness.set_workspace(workspace, weight, limit);
        let workspaces = self.fairness.len();
        self.workspace_queues.resize_with(workspaces, VecDeque::new);
        self.placed_by_workspace
            .resize_with(workspaces, BTreeSet::new);
        self.cancelled_counts.resize(workspaces, 0);
        self.releasing.resize(workspaces, Size::ZERO);
        self.stalled.resize(workspaces, false);
        self.clear_stalled();
    }

    /// Takes a data centre out of service or back into service. Returns the checkpoints that move
    /// its jobs elsewhere; jobs that cannot save their progress run to completion.
    pub fn set_out_of_service(&mut self, id: DataCentreId, out: bool, now: Instant) -> Vec<Action> {
        self.placement.set_out_of_service(id, out);
        self.clear_stalled();
        let to_empty = self.placement.workers();
        let to_empty = to_empty.filter(|(_, w)| out && w.data_centre == id);
        let workers: Vec<_> = to_empty.map(|(w, _)| w).collect();
        workers
            .into_iter()
            .flat_map(|w| self.evacuate(w, now))
            .collect()
    }

    /// Records that a worker announced that it leaves. Returns the checkpoints that move its jobs
    /// elsewhere.
    pub fn worker_leaving(&mut self, id: WorkerId, now: Instant) -> Vec<Action> {
        self.placement.set_standing(id, Standing::Leaving);
        self.evacuate(id, now)
    }

    /// Records that a worker that was lost or leaving is back.
    pub fn worker_rejoined(&mut self, id: WorkerId) {
        let standing = self.quarantine.standing(id);
        self.placement.set_standing(id, standing);
        self.clear_stalled();
    }

    /// Returns a job, or `None` if it is unknown or was forgotten.
    pub fn job(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(id.0)
    }

    /// Removes a job in a final state without a reservation. To be called once its state is
    /// stored.
    pub fn forget(&mut self, id: JobId) {
        let is_done = |j: &Job| j.state.is_final() && j.worker.is_none();
        if self.jobs.get(id.0).is_some_and(is_done) {
            self.jobs.remove(id.0);
        }
    }

    /// Returns the workers with their reservations.
    pub fn placement(&self) -> &Placement {
        &self.placement
    }

    /// Returns the usage and demand of the workspaces.
    pub fn fairness(&self) -> &Fairness {
        &self.fairness
    }

    /// Returns the usable capacity without the headroom reserved for urgent jobs.
    pub fn schedulable_capacity(&self) -> Size {
        let open = self.placement.open_capacity();
        if self.tuning.policy.is_fair() {
            open.reduced_by_percent(self.tuning.headroom_percent)
        } else {
            open
        }
    }

    /// Returns the capacity that is divided between workspaces: the schedulable capacity without
    /// the processors and memory in use that come with accelerators.
    pub fn shared_capacity(&self) -> Size {
        self.schedulable_capacity() - self.fairness.uncharged()
    }

    /// Returns the memory used in bytes, computed from the capacities of the collections.
    pub fn footprint(&self) -> usize {
        let id = size_of::<JobId>();
        let workspace_queues: usize = self
            .workspace_queues
            .iter()
            .map(|queue| queue.capacity() * id)
            .sum();
        let jobs_by_worker: usize = self
            .jobs_by_worker
            .iter()
            .map(|jobs| 24 + jobs.capacity() * id)
            .sum();
        // A B-tree takes about twice the memory of its keys.
        let trees: usize = self
            .placed_by_workspace
            .iter()
            .map(|tree| tree.len() * 32)
            .sum();
        let failed_on: usize = self
            .jobs
            .values()
            .map(|j| j.failed_on.capacity() * size_of::<WorkerId>())
            .sum();
        self.jobs.capacity() * (size_of::<Job>() + 8)
            + failed_on
            + self.placement.footprint()
            + self.fairness.footprint()
            + self.sizing.footprint()
            + self.quarantine.footprint()
            + workspace_queues
            + jobs_by_worker
            + trees
            + self.delayed.len() * 32
    }

    /// Makes all workspaces eligible to start jobs again, after capacity was freed or added.
    fn clear_stalled(&mut self) {
        self.stalled.fill(false);
    }

    /// Requests checkpoints of all jobs on a worker.
    fn evacuate(&mut self, worker: WorkerId, now: Instant) -> Vec<Action> {
        let jobs = self.jobs_by_worker[worker.index()].clone();
        jobs.into_iter()
            .filter_map(|id| self.request_checkpoint(id, Reason::Moved, now))
            .collect()
    }

    /// Returns the request to checkpoint a job, or `None` if the job is not running, cannot be
    /// checkpointed or was already asked to stop.
    fn request_checkpoint(&mut self, id: JobId, reason: Reason, now: Instant) -> Option<Action> {
        let job = &mut self.jobs[id.0];
        let worker = job.worker?;
        if job.state != State::Running || !job.spec.checkpoints || job.stopping.is_some() {
            return None;
        }
        job.stopping = Some((reason, now));
        let (workspace, run) = (job.spec.workspace, job.run);
        let releasing = &mut self.releasing[workspace.index()];
        *releasing = *releasing + self.fairness.charged_size(job.charge);
        let share = self.share_of(self.jobs[id.0].charge);
        if let Some(surplus) = self.surplus.get_mut(workspace.index()) {
            *surplus -= share;
        }
        Some(Action::Checkpoint {
            job: id,
            run,
            worker,
            reason,
        })
    }
}
