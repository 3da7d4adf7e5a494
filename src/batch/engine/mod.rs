mod accept;
mod ack;
mod adopt;
mod advise;
mod budget;
mod bursts;
mod candidate;
mod changes;
mod choose;
mod contact;
mod deferral;
mod demand;
mod denial;
mod emptying;
mod end;
mod exclusion;
mod expectation;
mod history;
mod hold;
mod idle_tasks;
mod inherit;
mod inherited_worker;
mod job;
mod learn;
mod lease;
mod listing;
mod load;
mod lost_machines;
mod maintenance;
mod members;
mod memory;
mod near;
mod near_rack;
mod need;
mod occurrence;
mod outline;
mod outlook;
mod overload;
mod pace;
mod place;
mod places;
mod poll;
mod pools;
mod precedence;
mod queue_services;
mod release;
mod relocate;
mod reply;
mod review;
mod round;
mod run;
mod runs;
mod schedule;
mod stage;
mod start;
mod submissions;
mod task;
mod tenure;
mod unwanted;
mod wave_progress;
mod worker;

use std::sync::Arc;

use slotmap::SlotMap;

use super::admission::Throughput;
use super::estimate::Estimator;
use super::{Config, JobKey, JobMemory, Order, RunKey, TaskId, Tuning, Wave, WorkerKey};
use crate::clock::Instant;
use crate::collections::{Map, Set};
use crate::jobs::Size;

use deferral::Deferral;
use demand::Demand;
use exclusion::Exclusion;
use history::History;
use inherited_worker::InheritedWorker;
use job::Job;
use members::Members;
use near_rack::NearRack;
use occurrence::Occurrence;
use outline::Outline;
use pools::Pools;
use queue_services::QueueServices;
use round::Round;
use run::Run;
use stage::{Stage, StageKey};
use submissions::Submissions;
use task::Task;
use wave_progress::WaveProgress;
use worker::Worker;

/// All jobs in progress and the workers that run their tasks.
///
/// ```
/// use std::sync::Arc;
/// use coriandernotch::batch::{Config, Engine, Tuning};
///
/// let engine = Engine::new(Tuning::default(), 1, Arc::new(Config::default()));
/// assert_eq!(engine.unstarted_jobs().count(), 0);
/// ```
#[derive(Debug)]
pub struct Engine {
    tuning: Tuning,
    /// Fencing token of this leader.
    token: u64,
    config: Arc<Config>,
    jobs: SlotMap<JobKey, Job>,
    job_ids: Map<Arc<str>, JobKey>,
    job_memory: JobMemory,
    history: History,
    workers: SlotMap<WorkerKey, Worker>,
    worker_ids: Map<Arc<str>, WorkerKey>,
    service_workers: Map<Arc<str>, Vec<WorkerKey>>,
    runs: SlotMap<RunKey, Run>,
    /// Workers that list runs which this leader does not keep.
    unwanted_on: Set<WorkerKey>,
    /// Stages that are ready and have unfinished tasks, by service.
    ready_stages: Map<Arc<str>, Vec<StageKey>>,
    /// Resources that the runs of each workspace hold on workers.
    usage: Map<Arc<str>, Size>,
    /// Data centres that operators have taken out of service.
    excluded_data_centres: Set<Arc<str>>,
    waves: Vec<WaveProgress>,
    /// Number of jobs that each workspace submitted recently.
    submissions: Submissions,
    /// Work that arrived recently, by service.
    demand: Map<Arc<str>, Demand>,
    /// Work within the weights of the workspaces that arrived recently, by service and priority.
    arrived: Map<(Arc<str>, u32), Throughput>,
    /// Work that was completed recently, by service.
    completed: Map<Arc<str>, Throughput>,
    pools: Pools,
    /// Run times learned from ended runs.
    estimator: Estimator,
    /// Jobs that are deferred because of overload, by service.
    deferrals: Map<Arc<str>, Deferral>,
    orders: Vec<(WorkerKey, Order)>,
    dirty: Vec<JobKey>,
    /// Workers that the store holds for the next leader.
    members: Members,
    /// Workers on which the previous leader may have runs and that have not answered this one yet,
    /// by id.
    uncontacted: Map<Arc<str>, InheritedWorker>,
    /// Services that queues use besides those for which their jobs were accepted.
    queue_services: QueueServices,
    /// Whether the workers that did not answer in time have been logged.
    uncontacted_logged: bool,
    /// When lasting tasks without a run were last looked for.
    idle_checked_at: Instant,
    /// When this leader begins to move lasting tasks.
    moves_from: Instant,
    /// When the latest successful renewal of the leadership was sent; `None` if the leadership does
    /// not expire.
    renewed_at: Option<Instant>,
    /// Number of the latest list of silent workers, and of the latest one that is stored.
    latest_report: u64,
    stored_report: u64,
    /// Whether a worker has seen a higher fencing token.
    fenced: bool,
}

impl Engine {
    /// Creates the engine of a leader with the given fencing token.
    pub fn new(tuning: Tuning, token: u64, config: Arc<Config>) -> Self {
        Self {
            tuning,
            token,
            config,
            jobs: SlotMap::with_key(),
            job_ids: Map::default(),
            job_memory: JobMemory::default(),
            history: History::default(),
            workers: SlotMap::with_key(),
            worker_ids: Map::default(),
            service_workers: Map::default(),
            runs: SlotMap::with_key(),
            unwanted_on: Set::default(),
            ready_stages: Map::default(),
            usage: Map::default(),
            excluded_data_centres: Set::default(),
            waves: Vec::new(),
            submissions: Submissions::default(),
            demand: Map::default(),
            arrived: Map::default(),
            completed: Map::default(),
            pools: Pools::default(),
            estimator: Estimator::default(),
            deferrals: Map::default(),
            orders: Vec::new(),
            dirty: Vec::new(),
            members: Members::default(),
            uncontacted: Map::default(),
            queue_services: QueueServices::default(),
            uncontacted_logged: false,
            idle_checked_at: Instant::default(),
            moves_from: Instant::default(),
            renewed_at: None,
            latest_report: 0,
            stored_report: 0,
            fenced: false,
        }
    }

    /// Returns the fencing token of this leader.
    pub fn token(&self) -> u64 {
        self.token
    }

    /// Records that a renewal of the leadership succeeded that was sent at `sent` with the latest
    /// lists of silent workers and of services of queues, and the latest changes of the members.
    pub fn record_renewal(&mut self, sent: Instant) {
        self.stored_report = self.latest_report;
        self.queue_services.confirm();
        self.confirm_members();
        self.renewed_at = self.renewed_at.max(Some(sent));
    }

    /// Returns whether a worker rejected an order because it has seen a newer leader.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Applies a version of the configuration to all jobs, unless it is not newer than the one in
    /// force: this is called in every scheduling round.
    pub fn set_config(&mut self, config: &Arc<Config>) {
        if config.version <= self.config.version {
            return;
        }
        self.config = config.clone();
        let keys: Vec<JobKey> = self.jobs.keys().collect();
        for key in keys {
            self.apply_route(key);
        }
    }

    /// Sets the data centres that operators have taken out of service.
    pub fn set_excluded_data_centres(&mut self, out: Set<Arc<str>>) {
        self.excluded_data_centres = out;
    }

    /// Adds or updates the maintenance waves requested by operators.
    pub fn set_waves(&mut self, waves: Vec<Wave>) {
        for wave in waves {
            match self.waves.iter_mut().find(|w| w.wave.number == wave.number) {
                Some(known) => known.wave = wave,
                None => self.waves.push(WaveProgress::new(wave)),
            }
        }
    }

    /// Takes the orders decided since the last call.
    pub fn take_orders(&mut self) -> Vec<(WorkerKey, Order)> {
        std::mem::take(&mut self.orders)
    }

    /// Counts the jobs without scheduled occurrences of which no task has been started, by queue.
    pub fn unstarted_jobs(&self) -> impl Iterator<Item = (Arc<str>, u64)> + use<> {
        let mut counts: Map<Arc<str>, u64> = Map::default();
        let is_pending = |job: &&Job| !job.is_started() && !job.state.is_final();
        for job in self.jobs.values().filter(is_pending) {
            if job.record.spec.occurrences == 0 {
                *counts.entry(job.record.route.clone()).or_default() += 1;
            }
        }
        counts.into_iter()
    }

    fn task(&self, key: JobKey, id: &TaskId) -> Option<&Task> {
        let stage = self.stage(key, id.occurrence, id.step)?;
        stage.tasks.get(id.index as usize)
    }

    fn task_mut(&mut self, key: JobKey, id: &TaskId) -> Option<&mut Task> {
        let job = self.jobs.get_mut(key)?;
        let occurrence = job
            .occurrences
            .iter_mut()
            .find(|o| o.number == id.occurrence)?;
        let stage = occurrence.stages.get_mut(id.step as usize)?;
        stage.tasks.get_mut(id.index as usize)
    }

    fn stage(&self, key: JobKey, occurrence: u32, step: u32) -> Option<&Stage> {
        let job = self.jobs.get(key)?;
        let occurrence = job.occurrences.iter().find(|o| o.number == occurrence)?;
        occurrence.stages.get(step as usize)
    }

    fn stage_mut(&mut self, key: StageKey) -> Option<&mut Stage> {
        let job = self.jobs.get_mut(key.job)?;
        let occurrence = job
            .occurrences
            .iter_mut()
            .find(|o| o.number == key.occurrence)?;
        occurrence.stages.get_mut(key.step as usize)
    }
}
