use std::sync::Arc;

use serde::Deserialize;

use super::task_name;
use crate::batch::{End, Ended, Look, Running};

/// Answer to a look.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct Held {
    clock_ms: u64,
    #[serde(default)]
    born: u64,
    #[serde(default)]
    running: Vec<RunningRow>,
    #[serde(default)]
    ended: Vec<(u64, String, u64, String, Arc<str>)>,
}

/// Task, run, checkpoint, percent, and a load that older workers leave out.
#[derive(Deserialize)]
#[serde(untagged)]
enum RunningRow {
    Loaded(String, u64, Arc<str>, f64, f64),
    Plain(String, u64, Arc<str>, f64),
}

impl From<Held> for Look {
    fn from(held: Held) -> Self {
        let running = held.running.into_iter().filter_map(|row| {
            let (name, number, saved, percent, load) = match row {
                RunningRow::Loaded(name, number, saved, percent, load) => {
                    (name, number, saved, percent, load)
                }
                RunningRow::Plain(name, number, saved, percent) => {
                    (name, number, saved, percent, 0.0)
                }
            };
            Some(Running {
                task: task_name::read(&name)?,
                number,
                saved,
                percent: percent as u64,
                load: load as u64,
            })
        });
        let ended = held
            .ended
            .into_iter()
            .filter_map(|(position, name, number, how, saved)| {
                let how = how.parse::<End>().unwrap_or_else(|_| {
                    log::error!(event = "end-unknown", how, task = name; "");
                    End::Stopped
                });
                Some(Ended {
                    position,
                    task: task_name::read(&name)?,
                    number,
                    how,
                    saved,
                })
            });
        Self {
            clock_ms: held.clock_ms,
            born_ms: held.born,
            running: running.collect(),
            ended: ended.collect(),
        }
    }
}
