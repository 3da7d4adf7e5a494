use serde::{Deserialize, Serialize};

use super::row;
use crate::batch::Busy;

/// Start of the keys of [`Handover`] in the table of leaders.
const HANDOVER: &str = "runs/";

/// Tasks and workers in one [`Handover`]. Each takes up to 200 bytes of the 64 KiB of a row.
const TASKS_PER_ROW: usize = 200;

/// Row with a part of the list of runs that a leader leaves when it resigns: the list of a large
/// fleet is longer than a row may be.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub(super) struct Handover {
    /// Fencing token of the leader that resigned.
    pub(super) token: u64,
    /// Workers that may have runs.
    pub(super) busy: Vec<Busy>,
}

impl Handover {
    /// Divides a list into rows.
    pub(super) fn divide(token: u64, busy: &[Busy]) -> Vec<(String, Vec<u8>)> {
        let mut rows = Vec::new();
        let mut row = Self {
            token,
            busy: Vec::new(),
        };
        let mut tasks = 0;
        for worker in busy {
            row.busy.push(worker.clone());
            tasks += 1 + worker.tasks.len();
            if tasks >= TASKS_PER_ROW {
                rows.push(std::mem::take(&mut row.busy));
                tasks = 0;
            }
        }
        rows.push(row.busy);
        let key = |number: usize| format!("{HANDOVER}{number}");
        let encode = |busy| row::encode(&Self { token, busy });
        let rows = rows.into_iter().enumerate();
        rows.map(|(number, busy)| (key(number), encode(busy)))
            .collect()
    }

    /// Returns whether a key in the table of leaders is that of a list of runs.
    pub(super) fn is_key(key: &str) -> bool {
        key.starts_with(HANDOVER)
    }
}
