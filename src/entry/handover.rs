use serde::{Deserialize, Serialize};

use super::row::{self, LEADERS};
use crate::batch::{Leader, MAX_LIST_BYTES, MAX_TRANSACTION_BYTES, Occupancy, row_bytes};
use crate::platform::api::Transaction;

/// Prefix of the keys of [`Handover`] rows in the table of leaders.
const KEY_PREFIX: &str = "runs/";

/// Row with a part of the list of runs that a leader hands over when it resigns. The list of a
/// large fleet exceeds the maximum size of a row.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub(super) struct Handover {
    /// Fencing token of the leader that resigned.
    pub(super) token: u64,
    /// Workers that may have runs.
    pub(super) busy: Vec<Occupancy>,
}

impl Handover {
    /// Returns a list of workers as changes of rows, which are written together with the rows of
    /// `leader`. Workers whose tasks do not fit into that transaction are listed without them.
    pub(super) fn transaction(leader: &Leader, occupancies: &[Occupancy]) -> Transaction {
        let mut occupancies = occupancies.to_vec();
        let room = MAX_TRANSACTION_BYTES.saturating_sub(row_bytes(leader));
        Occupancy::shrink(&mut occupancies, room);
        let rows = Self::divide(leader.token, &occupancies).into_iter();
        Transaction {
            puts: rows.map(|(key, row)| (LEADERS, key, row)).collect(),
            ..Transaction::default()
        }
    }

    /// Divides a list of workers into rows and returns their keys and contents.
    fn divide(token: u64, occupancies: &[Occupancy]) -> Vec<(String, Vec<u8>)> {
        let mut rows = Vec::new();
        let mut row = Self {
            token,
            busy: Vec::new(),
        };
        let mut bytes = 0;
        for worker in occupancies {
            let size = row_bytes(worker) + 1;
            bytes += size;
            if bytes > MAX_LIST_BYTES {
                bytes = size;
                rows.push(std::mem::take(&mut row.busy));
            }
            row.busy.push(worker.clone());
        }
        rows.push(row.busy);
        let key = |number: usize| format!("{KEY_PREFIX}{number}");
        let encode = |busy| row::encode(&Self { token, busy });
        let rows = rows.into_iter().enumerate();
        rows.map(|(number, busy)| (key(number), encode(busy)))
            .collect()
    }

    /// Returns whether a key in the table of leaders belongs to a [`Handover`] row.
    pub(super) fn is_key(key: &str) -> bool {
        key.starts_with(KEY_PREFIX)
    }
}
