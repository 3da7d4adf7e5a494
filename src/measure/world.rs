mod advance;
mod condition;
mod throughput;

use std::collections::VecDeque;
use std::time::Duration;

use super::demand::{Arrival, Demand};
use super::layout::Layout;
use super::tally::Tally;
use super::task::Task;
use crate::clock::{self, Instant};
use crate::collections::Map;
use crate::fleet::DataCentreId;
use crate::jobs::{
    Action, JobId, Outcome, Scheduler, Size, Start, State, Tuning, WorkerId, progressive_filling,
};

/// Length of a step; start and stop requests take one step to arrive.
const STEP: Duration = Duration::from_millis(100);

/// Usage is measured this often and reported this much later.
const SAMPLE: Duration = Duration::from_secs(4);
const LAG: Duration = Duration::from_secs(3);

/// Seconds simulated, and when the data centre leaves and returns.
pub(super) const SECONDS: u64 = 480;
const OUT: u64 = 240;
const BACK: u64 = 360;

/// Time after the return that still counts as the change.
const SETTLE: u64 = 60;

/// A worker that fails everything from this second on.
const FAULTY: (WorkerId, u64) = (WorkerId(7), 120);

/// What really happens on the workers, and what the scheduler is told of it.
pub(super) struct World {
    layout: Layout,
    demand: Demand,
    scheduler: Scheduler,
    tasks: Vec<Vec<Task>>,
    jobs: Map<JobId, (Arrival, f64)>,
    /// What each workspace wants: its waiting and running jobs at their real size.
    wanted: Vec<Size>,
    held: Vec<Size>,
    /// What accelerators bring to the jobs that hold them.
    companion: Size,
    /// Usage on its way, in order of arrival.
    reports: VecDeque<(Instant, JobId, u32, Size, Duration)>,
    out: Option<DataCentreId>,
    tally: Tally,
}

impl World {
    pub(super) fn new(layout: Layout, tuning: Tuning, seed: u64) -> Self {
        let workspaces = layout.workspaces as usize;
        Self {
            demand: Demand::new(layout, seed),
            scheduler: layout.scheduler(tuning),
            tasks: vec![Vec::new(); layout.workers as usize],
            jobs: Map::default(),
            wanted: vec![Size::ZERO; workspaces],
            held: vec![Size::ZERO; workspaces],
            companion: Size::ZERO,
            reports: VecDeque::new(),
            out: None,
            tally: Tally::default(),
            layout,
        }
    }

    /// Runs to the end and returns the sums.
    pub(super) fn run(mut self) -> Tally {
        let steps = u64::try_from(STEP.as_millis()).unwrap_or(1);
        let per_second = 1_000 / steps;
        for step in 0..SECONDS * per_second {
            let now = Instant::from_start(Duration::from_millis(step * steps));
            let second = step / per_second;
            if step % per_second == 0 {
                self.change(second, now);
            }
            let arrivals = self
                .demand
                .arrivals(step as f64 / per_second as f64, STEP.as_secs_f64());
            for arrival in arrivals {
                self.submit(arrival, now);
            }
            self.deliver(now);
            self.advance(second, now);
            self.decide(now);
            if step % per_second == per_second - 1 {
                self.observe(second);
            }
        }
        let waiting = |id: &&JobId| {
            let job = self.scheduler.job(**id);
            job.is_some_and(|j| j.spec.urgent && j.state == State::Queued)
        };
        self.tally.urgent_waiting = self.jobs.keys().filter(waiting).count();
        self.tally
    }

    fn change(&mut self, second: u64, now: Instant) {
        let data_centre = DataCentreId(1);
        if second == OUT {
            self.out = Some(data_centre);
            let actions = self.scheduler.set_out_of_service(data_centre, true, now);
            self.carry_out(&actions, now);
        } else if second == BACK {
            self.out = None;
            self.scheduler.set_out_of_service(data_centre, false, now);
        }
    }

    fn submit(&mut self, arrival: Arrival, now: Instant) {
        if let Ok(id) = self.scheduler.submit(arrival.spec, now) {
            let charged = self.scheduler.fairness().charged_size(arrival.used);
            let wanted = &mut self.wanted[arrival.spec.workspace.index()];
            *wanted = *wanted + charged;
            self.jobs.insert(id, (arrival, arrival.work));
        }
    }

    fn deliver(&mut self, now: Instant) {
        while let Some((_, job, run, used, age)) = self.reports.pop_front_if(|r| r.0 <= now) {
            if let Some(action) = self.scheduler.report_usage(job, run, used, age, now) {
                self.carry_out(&[action], now);
            }
        }
    }

    fn end(&mut self, task: &Task, outcome: Outcome, now: Instant) {
        if let Some((_, left)) = self.jobs.get_mut(&task.job) {
            *left = match outcome {
                Outcome::Checkpointed => task.left,
                _ => task.arrival.work,
            };
        }
        self.scheduler.run_ended(task.job, task.run, outcome, now);
        self.tally.checkpoints += u32::from(outcome == Outcome::Checkpointed);
        self.tally.succeeded += u32::from(outcome == Outcome::Succeeded);
        let state = self.scheduler.job(task.job).map(|j| j.state);
        if state.is_some_and(State::is_final) {
            let charged = self.scheduler.fairness().charged_size(task.arrival.used);
            let wanted = &mut self.wanted[task.arrival.spec.workspace.index()];
            *wanted = *wanted - charged;
            self.jobs.remove(&task.job);
            self.scheduler.forget(task.job);
        }
    }

    fn decide(&mut self, now: Instant) {
        loop {
            let before = clock::now();
            let start = self.scheduler.next_start(now);
            self.tally.decisions.push(nanoseconds(before));
            let Some(start) = start else { break };
            self.begin(start, now);
        }
        let before = clock::now();
        let actions = self.scheduler.balance(now);
        self.tally.balances.push(nanoseconds(before));
        self.carry_out(&actions, now);
    }

    fn begin(&mut self, start: Start, now: Instant) {
        let (arrival, left) = self.jobs[&start.job];
        self.tasks[start.worker.index()].push(Task {
            job: start.job,
            run: start.run,
            arrival,
            left,
            speed: 1.0,
            started: now,
            confirmed: false,
            next_sample: now + SAMPLE,
            ending: None,
        });
    }

    fn carry_out(&mut self, actions: &[Action], now: Instant) {
        for action in actions {
            let (job, worker) = match *action {
                Action::Checkpoint { job, worker, .. }
                | Action::Throttle { job, worker, .. }
                | Action::Stop { job, worker, .. } => (job, worker),
            };
            let mut tasks = self.tasks[worker.index()].iter_mut();
            let Some(task) = tasks.find(|t| t.job == job) else {
                continue;
            };
            match *action {
                Action::Checkpoint { .. } => {
                    // 0.3 to 0.9 s, by job.
                    let time = Duration::from_millis(300 + 100 * (job.number() % 7));
                    task.ending = Some((Outcome::Checkpointed, now + time));
                }
                Action::Throttle { processors, .. } => {
                    let used = task.arrival.used.processors.max(1);
                    task.speed = (processors as f64 / used as f64).min(1.0);
                    self.scheduler.run_throttled(job, task.run, processors);
                }
                Action::Stop { .. } => task.ending = Some((Outcome::Stopped, now + STEP)),
            }
        }
    }

    /// Compares what workspaces hold with what they are due, once a second.
    fn observe(&mut self, second: u64) {
        let usable = self.usable();
        let demands: Vec<_> = self
            .wanted
            .iter()
            .zip(0..)
            .map(|(w, workspace)| {
                (
                    f64::from(self.layout.weight(workspace)),
                    w.fractions(usable),
                )
            })
            .collect();
        let due = progressive_filling(&demands);
        let minute = usize::try_from(second / 60).unwrap_or(0);
        for (workspace, (held, due)) in self.held.iter().zip(&due).enumerate() {
            let held = held.dominant_share(usable);
            self.tally.share(minute, workspace, held, *due);
            if (OUT..BACK + SETTLE).contains(&second) {
                self.tally.change[0] += held;
                self.tally.change[1] += due;
            }
        }
        self.tally.known = self.tally.known.max(self.jobs.len());
        self.tally.footprint = self.tally.footprint.max(self.scheduler.footprint());
    }

    /// Capacity in service less the headroom and the margin of the default tuning, the same for all
    /// policies, and less what comes with accelerators.
    fn usable(&self) -> Size {
        let default = Tuning::default();
        let open = self.scheduler.placement().open_capacity();
        let open = open.reduced_by_percent(default.headroom_percent);
        let scale = |n: u64, margin: u64| n * 100 / (100 + margin);
        Size::new(
            scale(open.processors, default.margin_percent),
            scale(open.memory, default.memory_margin_percent),
            open.accelerators,
        ) - self.companion
    }

    fn wanted_processors(&self) -> f64 {
        self.wanted.iter().map(|w| w.processors as f64).sum()
    }
}

fn nanoseconds(before: Instant) -> u32 {
    u32::try_from(clock::now().since(before).as_nanos()).unwrap_or(u32::MAX)
}
