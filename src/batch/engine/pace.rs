use super::Engine;
use crate::batch::{RunKey, WorkerKey};
use crate::clock::Instant;

/// Fraction of the latency bound of a serving task above which best-effort tasks are slowed down.
const SLOW_DOWN_ABOVE: f64 = 0.85;

/// Fraction of the latency bound below which best-effort tasks are sped up.
const SPEED_UP_BELOW: f64 = 0.6;

/// Increment by which best-effort tasks are sped up, in percent of full speed.
const SPEED_UP_PERCENT: u64 = 10;

impl Engine {
    /// Slows down best-effort tasks on a worker while a serving task there is close to its latency
    /// bound.
    pub(super) fn pace_best_effort(&mut self, key: WorkerKey, now: Instant) {
        let runs = &self.workers[key].runs;
        let is_confirmed = |run: &&RunKey| self.runs[**run].confirmed_at.is_some();
        let serving = runs.iter().filter(is_confirmed).map(|run| &self.runs[*run]);
        let serving = serving.filter(|run| run.latency_ms > 0 && run.load > 0);
        let latency_ratio = serving.map(|run| run.load as f64 / run.latency_ms as f64);
        let Some(latency_ratio) = latency_ratio.reduce(f64::max) else {
            return;
        };
        let is_best_effort = |run: &&RunKey| {
            let run = &self.runs[**run];
            run.filling && run.confirmed_at.is_some() && run.stopping_since.is_none()
        };
        let best_effort: Vec<RunKey> = runs.iter().filter(is_best_effort).copied().collect();
        for run in best_effort {
            let run = &mut self.runs[run];
            let pace_percent = match run.pace_percent {
                pace_percent if latency_ratio > 1.0 => pace_percent / 3,
                pace_percent if latency_ratio > SLOW_DOWN_ABOVE => pace_percent * 2 / 3,
                pace_percent if latency_ratio < SPEED_UP_BELOW => {
                    (pace_percent + SPEED_UP_PERCENT).min(100)
                }
                pace_percent => pace_percent,
            };
            if pace_percent == run.pace_percent {
                continue;
            }
            run.pace_percent = pace_percent;
            // At its new speed it gets the whole time in which it must make progress.
            run.progressed_at = now;
            self.orders.push((key, run.pace_order()));
        }
    }

    /// Returns whether a worker must be polled often because best-effort tasks and serving tasks
    /// share it.
    pub fn has_latency_conflict(&self, key: WorkerKey) -> bool {
        let Some(worker) = self.workers.get(key) else {
            return false;
        };
        let runs = || worker.runs.iter().map(|run| &self.runs[*run]);
        runs().any(|run| run.filling) && runs().any(|run| run.latency_ms > 0)
    }

    /// Returns whether a worker must be polled often because a lasting task there is still starting
    /// while machines are being emptied for maintenance: other tasks of its step cannot move until
    /// it works.
    pub fn has_starting_task(&self, key: WorkerKey) -> bool {
        let machines_emptying = self.waves.iter().any(|wave| !wave.emptying.is_empty());
        let Some(worker) = self.workers.get(key).filter(|_| machines_emptying) else {
            return false;
        };
        let mut runs = worker.runs.iter().map(|run| &self.runs[*run]);
        runs.any(|run| run.lasting && run.percent < 100 && run.stopping_since.is_none())
    }
}
