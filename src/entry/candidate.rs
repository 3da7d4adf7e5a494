use std::sync::Arc;
use std::time::Duration;

use super::row::{self, LEADERS, OWNER_KEY};
use super::shared::{STORE_TIMEOUT, Shared};
use crate::batch::{Leader, Leadership};
use crate::clock;
use crate::platform::api::{Fault, Outcome, Precondition, Row, Transaction};

/// Attempts to write the leader row when earlier writes of this instance conflict.
const WRITE_ATTEMPTS: usize = 3;

/// This instance as a candidate for leadership, with the leader row as it knows it.
pub(super) struct Candidate {
    pub(super) shared: Arc<Shared>,
    pub(super) leadership: Leadership,
    pub(super) leader: Leader,
    /// Version of the leader row.
    row_version: u64,
    /// Version of the table up to which changes were read.
    pub(super) table_version: u64,
}

impl Candidate {
    pub(super) fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            leadership: Leadership::default(),
            leader: Leader::default(),
            row_version: 0,
            table_version: 0,
        }
    }

    /// Reads the leader row.
    pub(super) async fn read(&mut self) -> Result<(), Fault> {
        let store = &self.shared.store;
        let (rows, version) = store.read(LEADERS, "", "", "", STORE_TIMEOUT).await?;
        self.table_version = version;
        if rows.is_empty() {
            self.leadership.record_leader_row(0, true, clock::now());
        }
        rows.iter().for_each(|row| self.observe(row));
        self.backdate_renewal();
        Ok(())
    }

    /// Passes on the age of the last renewal by the clock of the store. After the loss of all
    /// instances, one that has just started then need not wait for the whole takeover time again.
    fn backdate_renewal(&mut self) {
        let now = clock::now();
        let store_ms = self.shared.store.clock_ms(now);
        if let Some(store_ms) = store_ms.filter(|_| self.leader.renewed_ms > 0) {
            let age = Duration::from_millis(store_ms.saturating_sub(self.leader.renewed_ms));
            self.leadership.backdate_last_change(age, now);
        }
    }

    /// Records a changed row. The leader row is outside of any partition; the feed covers the whole
    /// table.
    pub(super) fn observe(&mut self, row: &Row) {
        let is_leader_row = row.part.is_empty() && &*row.key == OWNER_KEY;
        if !is_leader_row || row.version <= self.row_version {
            return;
        }
        let Some(content) = &row.content else {
            return;
        };
        self.row_version = row.version;
        let Some(leader) = row::decode::<Leader>(&row.key, content) else {
            return;
        };
        // An earlier process with the name of this instance has ended, so there is no leader.
        let own = leader.holder == self.shared.settings.name;
        let orphaned = own && leader.incarnation < self.shared.incarnation;
        self.leadership
            .record_leader_row(leader.token, leader.vacant || orphaned, clock::now());
        *self.shared.leader.lock().expect("leader lock") = leader.clone();
        self.leader = leader;
    }

    /// Writes the leader row together with `changes` of other rows, on condition that no other
    /// instance has written the leader row. Returns whether they were written.
    pub(super) async fn write(
        &mut self,
        leader: &Leader,
        changes: Transaction,
        timeout: Duration,
    ) -> Result<bool, Fault> {
        let mut transaction = changes;
        transaction.expected = vec![Precondition {
            table: LEADERS,
            key: OWNER_KEY.into(),
            version: self.row_version,
        }];
        let row = (LEADERS, OWNER_KEY.into(), row::encode(leader));
        transaction.puts.push(row);
        for _ in 0..WRITE_ATTEMPTS {
            let rows = match self.shared.store.transact(&transaction, timeout).await? {
                Outcome::Applied(version) => {
                    self.row_version = version;
                    self.leader = leader.clone();
                    return Ok(true);
                }
                Outcome::Conflict(rows) => rows,
            };
            let Some(version) = own_version(&rows, leader) else {
                rows.iter().for_each(|row| self.observe(row));
                return Ok(false);
            };
            // An earlier write of this instance was applied, but its response was lost. Other
            // instances count the age of the renewal from that write, so the row is written again.
            transaction.expected[0].version = version;
        }
        Ok(false)
    }
}

/// Returns the version of the leader row if it was written in the term of `leader`.
fn own_version(rows: &[Row], leader: &Leader) -> Option<u64> {
    let row = rows.iter().find(|row| &*row.key == OWNER_KEY)?;
    let found = row::decode::<Leader>(OWNER_KEY, row.content.as_ref()?)?;
    leader.is_same_term(&found).then_some(row.version)
}
