use super::condition::Condition;
use super::throughput::Throughput;
use super::{BACK, FAULTY, LAG, OUT, SAMPLE, SETTLE, STEP, World};
use crate::clock::Instant;
use crate::jobs::{Outcome, Size, WorkerId};
use crate::measure::task::Task;

/// Progress of the runs.
impl World {
    /// Moves all runs on by one step.
    pub(super) fn advance(&mut self, second: u64, now: Instant) {
        let mut ended: Vec<(Task, Outcome)> = Vec::new();
        self.held.fill(Size::ZERO);
        self.companion = Size::ZERO;
        let mut throughput = Throughput::default();
        let mut tasks_by_worker = std::mem::take(&mut self.tasks);
        for (index, tasks) in (0..).zip(&mut tasks_by_worker) {
            let condition = self.condition(WorkerId(index), tasks, second);
            tasks.retain_mut(|task| {
                let done = self.advance_task(task, condition, &mut throughput, now);
                if let Some(outcome) = done {
                    let wasted = condition.faulty && outcome == Outcome::Failed;
                    self.tally.wasted += u32::from(wasted);
                    ended.push((*task, outcome));
                }
                done.is_none()
            });
        }
        self.tasks = tasks_by_worker;
        self.count_throughput(&throughput, second);
        for (task, outcome) in ended {
            self.end(&task, outcome, now);
        }
    }

    fn condition(&self, id: WorkerId, tasks: &[Task], second: u64) -> Condition {
        let worker = self.scheduler.placement().worker(id);
        let load = tasks.iter().fold(Size::ZERO, |a, t| a + t.arrival.used);
        // Beyond its capacity a worker slows all its runs down, by sharing or by swapping.
        let part = |have: u64, want: u64| have as f64 / want.max(have).max(1) as f64;
        Condition {
            factor: part(worker.capacity.processors, load.processors)
                .min(part(worker.capacity.memory, load.memory)),
            faulty: id == FAULTY.0 && second >= FAULTY.1,
            is_out: self.out == Some(worker.data_centre),
        }
    }

    /// Moves a run on by one step and returns its outcome if it has ended.
    fn advance_task(
        &mut self,
        task: &mut Task,
        condition: Condition,
        throughput: &mut Throughput,
        now: Instant,
    ) -> Option<Outcome> {
        if let Some((outcome, at)) = task.ending {
            return (now >= at).then_some(outcome);
        }
        if !task.confirmed {
            self.confirm(task, now);
            return None;
        }
        if condition.faulty {
            return Some(Outcome::Failed);
        }
        self.work(task, condition, throughput);
        if now >= task.next_sample {
            task.next_sample = now + SAMPLE;
            let (used, age) = (task.arrival.used, now.since(task.started));
            let report = (now + LAG, task.job, task.run, used, age);
            self.reports.push_back(report);
        }
        if task.arrival.bad && now.since(task.started).as_secs() >= 1 {
            return Some(Outcome::Failed);
        }
        (task.left <= 0.0).then_some(Outcome::Succeeded)
    }

    fn confirm(&mut self, task: &mut Task, now: Instant) {
        task.confirmed = true;
        self.scheduler.confirm_start(task.job, task.run);
        if task.arrival.spec.urgent && task.run == 1 {
            let submitted = self.scheduler.job(task.job).map(|j| j.submitted);
            let waited = now.since(submitted.unwrap_or(now));
            self.tally.urgent.push(waited);
        }
    }

    /// Does the work of one step and counts the resources that the run really uses.
    fn work(&mut self, task: &mut Task, condition: Condition, throughput: &mut Throughput) {
        let progress = condition.factor * task.speed;
        task.left -= progress * STEP.as_secs_f64();
        let used = task.arrival.used;
        let slow = |n: u64| (n as f64 * progress) as u64;
        let real = Size::new(slow(used.processors), slow(used.memory), used.accelerators);
        let charged = self.scheduler.fairness().charged_size(real);
        let held = &mut self.held[task.arrival.spec.workspace.index()];
        *held = *held + charged;
        self.companion = self.companion + (real - charged);
        throughput.total += real.processors as f64;
        if !condition.is_out {
            throughput.in_service += real.processors as f64;
        }
    }

    fn count_throughput(&mut self, throughput: &Throughput, second: u64) {
        let step = STEP.as_secs_f64();
        let open = self.scheduler.placement().open_capacity().processors as f64;
        if (OUT..BACK + SETTLE).contains(&second) {
            self.tally.change_raw[0] += throughput.in_service * step;
            self.tally.change_raw[1] += open * step;
        }
        if self.wanted_processors() > open {
            self.tally.busy[0] += throughput.total * step;
            self.tally.busy[1] += open * step;
            self.tally.reserved += self.scheduler.placement().reserved().processors as f64 * step;
        }
    }
}
