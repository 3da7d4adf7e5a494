use std::sync::Arc;
use std::time::Duration;

use coriandernotch::batch::{
    Config, End, Ended, Engine, MemberChanges, Order, Profile, Progress, Record, Renewal, Reply,
    Route, Running, Snapshot, Spec, Step, TaskId, Tuning, WorkerKey, Workspace,
};
use coriandernotch::clock::Instant;
use coriandernotch::collections::Map;
use coriandernotch::jobs::Size;

/// Wall-clock time at which each test begins, in milliseconds since 1970.
pub(crate) const START_MS: u64 = 1_700_000_000_000;

/// Maximum number of ends in one answer of a worker.
const MAX_LISTED_ENDS: usize = 500;

/// Returns when a connection was opened that leads to the process which answered last, if to any.
pub(crate) fn old_connection() -> Instant {
    Instant::default()
}

/// A run on a simulated worker.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) task: TaskId,
    pub(crate) number: u64,
    pub(crate) ends_at: Option<Instant>,
    pub(crate) load: u64,
}

/// A simulated worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct Worker {
    pub(crate) running: Vec<Run>,
    pub(crate) ended: Vec<Ended>,
    pub(crate) position: u64,
    /// Highest position up to which ends were acknowledged.
    pub(crate) acknowledged: u64,
    /// Whether it does not answer.
    pub(crate) silent: bool,
    /// Number of times that it was restarted under its id.
    pub(crate) restarts: u64,
    /// Latest lease granted, in milliseconds of simulated time.
    pub(crate) lease_ms: u64,
    /// Whether all runs make no progress.
    pub(crate) stalls: bool,
    /// Whether all runs fail shortly after their start.
    pub(crate) fails: bool,
    /// Whether it confirms stops and does not carry them out yet.
    pub(crate) stops_late: bool,
}

/// An engine with simulated workers and a store that accepts every write unless it is unavailable.
pub(crate) struct Simulation {
    pub(crate) engine: Engine,
    pub(crate) now: Instant,
    pub(crate) workers: Map<Arc<str>, Worker>,
    pub(crate) store_unavailable: bool,
    pub(crate) starts: Vec<(Arc<str>, TaskId, u64)>,
    pub(crate) paces: Vec<u64>,
    /// State and end time of each job that is stored as ended, in milliseconds since 1970.
    pub(crate) ended: Map<Arc<str>, (coriandernotch::batch::State, u64)>,
    /// Latest stored progress of each job.
    pub(crate) stored: Map<Arc<str>, Progress>,
    /// Run time of a task in milliseconds.
    pub(crate) run_ms: u64,
    /// Time for which workers hold back the answer to a poll until a run ends, and the polls that
    /// they have not answered yet: when each was sent, and what it renews.
    pub(crate) poll_wait: Duration,
    held_polls: Map<Arc<str>, (Instant, Renewal)>,
    /// Run times of tasks that differ from that, by the description of their work.
    pub(crate) run_ms_of: Map<Arc<str>, u64>,
    /// Run time away from the data or the gang in percent of that near it.
    pub(crate) far_percent: u64,
    /// Racks of data, by the description of the work. Work of the rack `gang` runs near if all of its
    /// tasks are in the same rack.
    pub(crate) racks: Map<Arc<str>, Arc<str>>,
    /// Last label of each worker.
    rack_of_worker: Map<Arc<str>, Arc<str>>,
    /// Milliseconds of run time that ended or is yet to end.
    pub(crate) work_ms: u64,
}

pub(crate) fn route(name: &str, service: &str) -> Route {
    Route {
        name: name.into(),
        host: "h".into(),
        prefix: format!("/{name}/").into(),
        service: service.into(),
        max_attempts: 3,
        stretch: 1.6,
        allowance: Duration::from_millis(600),
        open: true,
        ..Route::default()
    }
}

pub(crate) fn config() -> Config {
    Config {
        version: 1,
        routes: vec![route("q", "s"), route("r", "t")],
        ..Config::default()
    }
}

pub(crate) fn profile(id: &str, service: &str) -> Profile {
    Profile {
        id: id.into(),
        born_ms: 1,
        service: service.into(),
        address: "127.0.0.1:1".into(),
        data_centre: "a".into(),
        machine: format!("m-{id}").into(),
        draining: false,
        capacity: Size::new(4_000, 8_000, 0),
        labels: vec!["k".into(), "rack".into()],
    }
}

pub(crate) fn step(count: u32) -> Step {
    Step {
        count,
        size: Size::new(1_000, 100, 0),
        estimate_ms: 500,
        ..Step::default()
    }
}

pub(crate) fn record(steps: Vec<Step>) -> Record {
    let spec = Spec {
        payload: "x".into(),
        steps,
        ..Spec::default()
    };
    Record {
        route: "q".into(),
        service: "s".into(),
        workspace: "w".into(),
        arrived_ms: START_MS,
        spec,
        ..Record::default()
    }
}

impl Simulation {
    pub(crate) fn new(token: u64, config: Config) -> Self {
        Self {
            engine: Engine::new(Tuning::default(), token, Arc::new(config)),
            now: Instant::from_start(Duration::from_secs(1_000)),
            workers: Map::default(),
            store_unavailable: false,
            starts: Vec::new(),
            paces: Vec::new(),
            ended: Map::default(),
            stored: Map::default(),
            run_ms: 500,
            poll_wait: Duration::ZERO,
            held_polls: Map::default(),
            run_ms_of: Map::default(),
            far_percent: 100,
            racks: Map::default(),
            rack_of_worker: Map::default(),
            work_ms: 0,
        }
    }

    /// Creates a simulation in which tasks take longer away from their data or their gang. The engine
    /// knows that, or not.
    pub(crate) fn with_racks(token: u64, config: Config, far_percent: u32, knows: bool) -> Self {
        let tuning = Tuning {
            far_percent: if knows { far_percent } else { 100 },
            ..Tuning::default()
        };
        Self {
            engine: Engine::new(tuning, token, Arc::new(config.clone())),
            far_percent: far_percent.into(),
            ..Self::new(token, config)
        }
    }

    /// Creates a simulation whose engine learns run times, or not.
    pub(crate) fn learning(token: u64, config: Config, learn_estimates: bool) -> Self {
        let tuning = Tuning {
            learn_estimates,
            ..Tuning::default()
        };
        Self {
            engine: Engine::new(tuning, token, Arc::new(config.clone())),
            ..Self::new(token, config)
        }
    }

    /// Creates a simulation whose leader has early refusal on.
    pub(crate) fn refusing(token: u64, config: Config) -> Self {
        let tuning = Tuning {
            refuse_late_jobs: true,
            ..Tuning::default()
        };
        Self {
            engine: Engine::new(tuning, token, Arc::new(config.clone())),
            ..Self::new(token, config)
        }
    }

    /// Creates a simulation with `count` workers of the service `s` that have answered.
    pub(crate) fn with_workers(count: usize) -> Self {
        let mut sim = Self::new(1, config());
        for number in 0..count {
            sim.add(profile(&format!("i-{number}"), "s"));
        }
        sim.run(50);
        sim
    }

    pub(crate) fn add(&mut self, profile: Profile) {
        self.workers.entry(profile.id.clone()).or_default();
        if let Some(rack) = profile.labels.last() {
            (self.rack_of_worker).insert(profile.id.clone(), rack.clone());
        }
        self.engine.update_worker(profile);
    }

    pub(crate) fn wall_ms(&self) -> u64 {
        let simulation_start = Instant::from_start(Duration::from_secs(1_000));
        START_MS + u64::try_from(self.now.since(simulation_start).as_millis()).unwrap()
    }

    pub(crate) fn accept(&mut self, id: &str, record: Record) {
        let wall = self.wall_ms();
        self.engine
            .load_job(&id.into(), record, None, wall, self.now);
    }

    /// Renews the leadership, with the services of queues and the changes of the members, and
    /// returns the latter.
    pub(crate) fn renew(&mut self) -> MemberChanges {
        self.engine.queue_services();
        let changes = self.engine.take_member_changes();
        self.engine.record_renewal(self.now);
        changes
    }

    /// Advances simulated time in steps of 10 ms.
    pub(crate) fn run(&mut self, ms: u64) {
        for _ in 0..ms / 10 {
            self.now = self.now + Duration::from_millis(10);
            self.tick();
        }
    }

    pub(crate) fn tick(&mut self) {
        let wall = self.wall_ms();
        let keys: Vec<(WorkerKey, Arc<str>)> = self
            .engine
            .worker_addresses()
            .into_iter()
            .map(|(key, id, _)| (key, id))
            .collect();
        self.poll_all();
        self.engine.check_runs_and_workers(self.now);
        self.engine.place(self.now, wall);
        for (key, order) in self.engine.take_orders() {
            let (_, id) = keys.iter().find(|(known, _)| *known == key).unwrap();
            if self.engine.must_answer_before_start(key, self.now) {
                self.poll(key, id, wall);
            }
            self.execute(key, id, order);
        }
        if !self.store_unavailable {
            for (job, id, change, progress) in self.engine.take_unstored(usize::MAX, |_| true) {
                self.engine.record_stored_change(job, change);
                if progress.state.is_final() {
                    let ended = (progress.state, wall);
                    self.ended.entry(id.clone()).or_insert(ended);
                }
                self.stored.insert(id, progress);
            }
        }
    }

    /// Polls the workers that must be polled.
    pub(crate) fn poll_all(&mut self) {
        let wall = self.wall_ms();
        for (key, id, _) in self.engine.worker_addresses() {
            if self.engine.needs_poll(key) {
                self.poll(key, &id, wall);
            }
        }
    }

    fn poll(&mut self, key: WorkerKey, id: &Arc<str>, wall: u64) {
        let worker = self.workers.get_mut(id).unwrap();
        if worker.silent {
            self.engine.record_no_answer(key);
            return;
        }
        let now = self.now;
        let stalls = worker.stalls;
        let finished = |run: &mut Run| !stalls && run.ends_at.is_some_and(|at| at <= now);
        let finished: Vec<Run> = worker.running.extract_if(.., finished).collect();
        for run in finished {
            let how = if worker.fails { End::Failed } else { End::Done };
            worker.end(run, how);
        }
        let (sent, renewal) = self.held_polls.remove(id).unwrap_or_else(|| {
            self.engine.set_poll_wait(key, self.poll_wait);
            (now, self.engine.renewal(key, old_connection(), now))
        });
        let acknowledged = renewal.position;
        worker.acknowledged = worker.acknowledged.max(acknowledged);
        worker.ended.retain(|ended| ended.position > acknowledged);
        let lease = renewal.deadline_ms.unwrap_or_default();
        worker.lease_ms = worker.lease_ms.max(lease);
        if worker.ended.is_empty() && now < sent + self.poll_wait {
            self.held_polls.insert(id.clone(), (sent, renewal));
            return;
        }
        let running = worker.running.iter().map(|run| Running {
            task: run.task.clone(),
            number: run.number,
            saved: "".into(),
            percent: if run.ends_at.is_none() {
                100
            } else {
                if stalls {
                    7
                } else {
                    now.as_nanos() / 1_000_000 % 97
                }
            },
            load: run.load,
        });
        let snapshot = Snapshot {
            clock_ms: now.as_nanos() / 1_000_000,
            born_ms: 1 + worker.restarts,
            running: running.collect(),
            ended: worker.ended.iter().take(MAX_LISTED_ENDS).cloned().collect(),
            has_more_ends: worker.ended.len() > MAX_LISTED_ENDS,
        };
        self.engine.process_poll(key, &snapshot, sent, wall, now);
    }

    fn execute(&mut self, key: WorkerKey, id: &Arc<str>, order: Order) {
        let worker = self.workers.get_mut(id).unwrap();
        match order {
            Order::Start(run) => {
                let launch = self.engine.launch(run, self.now);
                let deadline = self.engine.grant_lease(key, old_connection(), self.now);
                let (Some(launch), Some(lease)) = (launch, deadline) else {
                    return self.engine.record_start_not_sent(run, self.now);
                };
                if worker.silent {
                    return self
                        .engine
                        .record_start_outcome(run, &Reply::Unknown, None, self.now);
                }
                worker.lease_ms = worker.lease_ms.max(lease);
                let lasting = launch.payload.contains("lasting");
                let run_ms = self.run_ms_of.get(&launch.payload).unwrap_or(&self.run_ms);
                let rack = self.racks.get(&launch.payload);
                let is_gang = rack.is_some_and(|rack| &**rack == "gang");
                let is_far = !is_gang && rack.is_some_and(|rack| *rack != self.rack_of_worker[id]);
                let percent = if is_far { self.far_percent } else { 100 };
                let run_ms = if worker.fails {
                    20
                } else {
                    *run_ms * percent / 100
                };
                let duration = Duration::from_millis(run_ms);
                self.work_ms += if lasting { 0 } else { run_ms };
                worker.running.push(Run {
                    task: launch.task.clone(),
                    number: launch.number,
                    ends_at: (!lasting).then(|| self.now + duration),
                    load: 0,
                });
                let task = launch.task.clone();
                self.starts.push((id.clone(), launch.task, launch.number));
                if is_gang {
                    self.slow_down_if_apart(&task, run_ms);
                }
                self.engine
                    .record_start_outcome(run, &Reply::Started, None, self.now);
            }
            Order::Stop { task, number } => {
                if worker.silent {
                    return;
                }
                let stops = !worker.stops_late;
                let is_same_run = |run: &mut Run| stops && run.task == task && run.number == number;
                let runs: Vec<Run> = worker.running.extract_if(.., is_same_run).collect();
                runs.into_iter()
                    .for_each(|run| worker.end(run, End::Stopped));
                self.engine
                    .record_stop_confirmation(key, &task, number, self.now);
            }
            Order::Pace { percent, .. } => self.paces.push(percent),
        }
    }

    /// Lets the tasks of a gang take longer if they are not all in the same rack.
    fn slow_down_if_apart(&mut self, task: &TaskId, run_ms: u64) {
        let is_member = |run: &Run| run.task.job == task.job && run.task.step == task.step;
        let workers = self.workers.iter();
        let workers = workers.filter(|(_, worker)| worker.running.iter().any(is_member));
        let mut racks: Vec<&Arc<str>> = workers.map(|(id, _)| &self.rack_of_worker[id]).collect();
        racks.sort();
        racks.dedup();
        if racks.len() < 2 {
            return;
        }
        let far_ms = run_ms * self.far_percent / 100;
        let ends_at = Some(self.now + Duration::from_millis(far_ms));
        let runs = self.workers.values_mut().flat_map(|w| &mut w.running);
        for run in runs.filter(|run| is_member(run) && run.ends_at != ends_at) {
            run.ends_at = ends_at;
            self.work_ms += far_ms - run_ms;
        }
    }

    /// Returns whether a worker does not answer.
    pub(crate) fn is_silent(&self, key: WorkerKey) -> bool {
        let addresses = self.engine.worker_addresses();
        let (_, id, _) = addresses.iter().find(|(known, ..)| *known == key).unwrap();
        self.workers[id].silent
    }

    /// Counts the runs of all workers.
    pub(crate) fn running(&self) -> usize {
        self.workers.values().map(|w| w.running.len()).sum()
    }

    /// Counts starts of one task.
    pub(crate) fn starts_of(&self, job: &str, step: u32, index: u32) -> usize {
        let is_same_task = |(_, task, _): &&(Arc<str>, TaskId, u64)| {
            *task.job == *job && task.step == step && task.index == index
        };
        self.starts.iter().filter(is_same_task).count()
    }
}

impl Worker {
    /// Replaces the process, which ends all runs.
    pub(crate) fn restart(&mut self) {
        *self = Self {
            restarts: self.restarts + 1,
            ..Self::default()
        };
    }

    pub(crate) fn end(&mut self, run: Run, how: End) {
        self.position += 1;
        self.ended.push(Ended {
            position: self.position,
            task: run.task,
            number: run.number,
            how,
            saved: "".into(),
        });
    }
}

/// Configures a resource limit for the workspace of the jobs in these tests.
pub(crate) fn limited(maximum: Size) -> Config {
    let workspace = Workspace {
        name: "w".into(),
        weight: 1,
        maximum,
    };
    let mut config = config();
    config.workspaces.insert("w".into(), workspace);
    config
}

/// Builds a job of lasting tasks.
pub(crate) fn lasting(count: u32) -> Record {
    let mut record = record(vec![Step {
        lasting: true,
        max_per_worker: 1,
        may_miss: 1,
        ..step(count)
    }]);
    record.spec.payload = "lasting".into();
    record
}
