use super::Engine;
use crate::batch::{Order, RunKey, WorkerKey};

/// Fraction of the latency bound of a serving task above which best-effort tasks are slowed down.
const HIGH: f64 = 0.85;

/// Fraction of the latency bound below which best-effort tasks are sped up.
const LOW: f64 = 0.6;

/// Increment by which best-effort tasks are sped up, in percent of full speed.
const FASTER: u64 = 10;

impl Engine {
    /// Slows down best-effort tasks on a worker while a serving task there is close to its latency
    /// bound.
    pub(super) fn pace(&mut self, key: WorkerKey) {
        let runs = &self.workers[key].runs;
        let present = |run: &&RunKey| self.runs[**run].confirmed.is_some();
        let tails = runs.iter().filter(present).map(|run| &self.runs[*run]);
        let tails = tails.filter(|run| run.latency_ms > 0 && run.load > 0);
        let worst = tails.map(|run| run.load as f64 / run.latency_ms as f64);
        let Some(worst) = worst.reduce(f64::max) else {
            return;
        };
        let filling = |run: &&RunKey| {
            let run = &self.runs[**run];
            run.filling && run.confirmed.is_some() && run.stopping.is_none()
        };
        let filling: Vec<RunKey> = runs.iter().filter(filling).copied().collect();
        for run in filling {
            let run = &mut self.runs[run];
            let pace = match run.pace {
                pace if worst > 1.0 => pace / 3,
                pace if worst > HIGH => pace * 2 / 3,
                pace if worst < LOW => (pace + FASTER).min(100),
                pace => pace,
            };
            if pace == run.pace {
                continue;
            }
            run.pace = pace;
            let (task, number) = (run.task.clone(), run.number);
            self.orders.push((
                key,
                Order::Pace {
                    task,
                    number,
                    percent: pace,
                },
            ));
        }
    }

    /// Returns whether a worker must be polled often because best-effort tasks and serving tasks
    /// share it.
    pub fn is_contended(&self, key: WorkerKey) -> bool {
        let Some(worker) = self.workers.get(key) else {
            return false;
        };
        let runs = || worker.runs.iter().map(|run| &self.runs[*run]);
        runs().any(|run| run.filling) && runs().any(|run| run.latency_ms > 0)
    }

    /// Returns whether a worker must be polled often because a lasting task there is still starting
    /// while machines are being emptied for maintenance: other tasks of its step cannot move until
    /// it works.
    pub fn is_settling(&self, key: WorkerKey) -> bool {
        let emptying = self.waves.iter().any(|wave| !wave.emptying.is_empty());
        let Some(worker) = self.workers.get(key).filter(|_| emptying) else {
            return false;
        };
        let mut runs = worker.runs.iter().map(|run| &self.runs[*run]);
        runs.any(|run| run.lasting && run.percent < 100 && run.stopping.is_none())
    }
}
