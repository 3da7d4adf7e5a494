use std::sync::Arc;

use serde::Deserialize;

use super::task_name;
use crate::batch::{End, Ended, Running, Snapshot};

/// Maximum number of ended runs in one response.
const MAX_ENDED_ROWS: usize = 500;

/// Largest accepted clock, run number or position. As milliseconds it is 285,000 years, and the
/// leader can add to it without an overflow.
pub(super) const MAX_NUMBER: u64 = 1 << 53;

/// Response of a worker to a poll.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct Report {
    /// Time on the clock of the worker.
    clock_ms: u64,
    /// Start time of the worker process in milliseconds.
    #[serde(default)]
    born: u64,
    #[serde(default)]
    running: Vec<RunningRow>,
    /// Position, task, run, outcome and checkpoint of each ended run.
    #[serde(default)]
    ended: Vec<(u64, String, u64, String, Arc<str>)>,
}

/// Task, run, checkpoint, progress in percent, and load of a running task.
#[derive(Deserialize)]
#[serde(untagged)]
enum RunningRow {
    /// With the load.
    Loaded(String, u64, Arc<str>, f64, f64),
    /// Without the load, as older workers report it.
    Plain(String, u64, Arc<str>, f64),
}

impl Report {
    /// Returns whether no number is impossibly large.
    pub(super) fn is_possible(&self) -> bool {
        let running = self.running.iter().map(|row| match row {
            RunningRow::Loaded(_, number, ..) | RunningRow::Plain(_, number, ..) => *number,
        });
        let ended = self.ended.iter();
        let ended = ended.flat_map(|(position, _, number, ..)| [*position, *number]);
        let mut numbers = running.chain(ended).chain([self.clock_ms]);
        numbers.all(|number| number <= MAX_NUMBER)
    }
}

impl From<Report> for Snapshot {
    fn from(report: Report) -> Self {
        let running = report.running.into_iter().filter_map(|row| {
            let (name, number, saved, percent, load) = match row {
                RunningRow::Loaded(name, number, saved, percent, load) => {
                    (name, number, saved, percent, load)
                }
                RunningRow::Plain(name, number, saved, percent) => {
                    (name, number, saved, percent, 0.0)
                }
            };
            Some(Running {
                task: task_name::decode(&name)?,
                number,
                saved,
                percent: percent as u64,
                load: load as u64,
            })
        });
        let has_more_ends = report.ended.len() >= MAX_ENDED_ROWS;
        let ended = report
            .ended
            .into_iter()
            .filter_map(|(position, name, number, how, saved)| {
                let how = how.parse::<End>().unwrap_or_else(|_| {
                    log::error!(event = "end-unknown", how, task = name; "");
                    End::Stopped
                });
                Some(Ended {
                    position,
                    task: task_name::decode(&name)?,
                    number,
                    how,
                    saved,
                })
            });
        Self {
            clock_ms: report.clock_ms,
            born_ms: report.born,
            running: running.collect(),
            ended: ended.collect(),
            has_more_ends,
        }
    }
}
