use std::time::Duration;

use super::deviation::Deviation;

/// Sums over one run.
#[derive(Debug, Default)]
pub(super) struct Tally {
    /// Per full minute and workspace: dominant share held and share due, both summed over seconds.
    minutes: Vec<Vec<(f64, f64)>>,
    /// Work done and allowed while a data centre leaves and returns.
    pub(super) change: [f64; 2],
    /// Processors in use and in service during the change.
    pub(super) change_raw: [f64; 2],
    /// Processors in use and in service over seconds in which jobs waited.
    pub(super) busy: [f64; 2],
    /// Processors reserved over the same seconds.
    pub(super) reserved: f64,
    pub(super) urgent: Vec<Duration>,
    pub(super) urgent_waiting: usize,
    pub(super) decisions: Vec<u32>,
    pub(super) balances: Vec<u32>,
    pub(super) wasted: u32,
    pub(super) succeeded: u32,
    pub(super) checkpoints: u32,
    pub(super) footprint: usize,
    pub(super) known: usize,
}

impl Tally {
    /// Adds what a workspace held and was due in one second.
    pub(super) fn share(&mut self, minute: usize, workspace: usize, held: f64, due: f64) {
        if self.minutes.len() <= minute {
            self.minutes.resize(minute + 1, Vec::new());
        }
        let workspaces = &mut self.minutes[minute];
        if workspaces.len() <= workspace {
            workspaces.resize(workspace + 1, (0.0, 0.0));
        }
        workspaces[workspace].0 += held;
        workspaces[workspace].1 += due;
    }

    /// Deviations from the share in percent over full minutes from `first`.
    pub(super) fn deviation(&self, first: usize) -> Deviation {
        let workspaces = self.minutes.iter().skip(first).flatten();
        let parts: Vec<f64> = workspaces
            .filter(|(_, due)| *due > 0.0)
            .map(|(held, due)| (held - due) / due * 100.0)
            .collect();
        Deviation {
            below: parts.iter().fold(0.0, |a, x| f64::max(a, -x)),
            above: parts.iter().fold(0.0, |a, x| f64::max(a, *x)),
            mean: parts.iter().map(|x| x.abs()).sum::<f64>() / parts.len() as f64,
        }
    }

    /// The `part` quantile of urgent starts in seconds. A job that never started counts as infinite.
    pub(super) fn urgent_quantile(&self, part: f64) -> f64 {
        let mut starts: Vec<_> = self.urgent.iter().map(Duration::as_secs_f64).collect();
        starts.extend(std::iter::repeat_n(f64::INFINITY, self.urgent_waiting));
        starts.sort_by(f64::total_cmp);
        quantile(&starts, part)
    }

    /// Mean and `part` quantile of times in nanoseconds, in microseconds.
    pub(super) fn times(samples: &[u32], part: f64) -> (f64, f64) {
        let mut sorted: Vec<_> = samples.iter().map(|n| f64::from(*n) / 1_000.0).collect();
        sorted.sort_by(f64::total_cmp);
        let mean = sorted.iter().sum::<f64>() / sorted.len() as f64;
        (mean, quantile(&sorted, part))
    }
}

fn quantile(sorted: &[f64], part: f64) -> f64 {
    let index = (sorted.len() as f64 * part).ceil() as usize;
    sorted
        .get(index.saturating_sub(1).min(sorted.len().saturating_sub(1)))
        .copied()
        .unwrap_or(f64::NAN)
}
