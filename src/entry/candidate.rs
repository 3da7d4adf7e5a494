use std::sync::Arc;
use std::time::Duration;

use super::row::{self, LEADERS, LISTS, OWNER_KEY};
use super::shared::{STORE_TIMEOUT, Shared};
use crate::batch::{
    Contender, Leader, LeaderPart, LeaderRows, Leadership, Strength, Tenancy, Transfer,
};
use crate::clock;
use crate::platform::api::{Fault, Outcome, Precondition, Row, Transaction};

/// Attempts to write the leader row when earlier writes of this instance conflict.
const WRITE_ATTEMPTS: usize = 3;

/// Largest number of further rows that are deleted although this process did not write them.
const MAX_PARTS: u32 = 16;

/// This instance as a candidate for leadership, with the leader row as it knows it.
pub(super) struct Candidate {
    pub(super) shared: Arc<Shared>,
    pub(super) leadership: Leadership,
    /// Leader as the last row shows it. One of another process lacks the lists in further rows, whose
    /// number it names.
    pub(super) leader: Leader,
    pub(super) contender: Contender,
    /// Request for the lead that a write of this leader met.
    pub(super) requested: Option<Transfer>,
    /// Version of the leader row.
    row_version: u64,
    /// Version of the outlook.
    pub(super) outlook_version: u64,
    /// Number of the last write of the leader row by this process.
    last_write: u64,
    /// Number of further rows that may be stored.
    stored_parts: u32,
    /// Version of the table up to which changes were read.
    pub(super) table_version: u64,
}

impl Candidate {
    pub(super) fn new(shared: Arc<Shared>) -> Self {
        let strength = Strength::from_share(shared.settings.processor_share);
        Self {
            shared,
            leadership: Leadership::default(),
            leader: Leader::default(),
            contender: Contender::new(strength),
            requested: None,
            row_version: 0,
            outlook_version: 0,
            last_write: 0,
            stored_parts: 0,
            table_version: 0,
        }
    }

    /// Reads the leader row.
    pub(super) async fn read(&mut self) -> Result<(), Fault> {
        let store = &self.shared.store;
        let (rows, version) = store.read(LEADERS, "", "", "", STORE_TIMEOUT).await?;
        self.table_version = version;
        if rows.is_empty() {
            self.leadership
                .record_leader_row(0, Tenancy::Vacant, clock::now());
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
        self.observe_outlook(row);
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
        let name = &self.shared.settings.name;
        // An earlier process with the name of this instance has ended, so there is no leader.
        let orphaned = leader.holder == *name && leader.incarnation < self.shared.incarnation;
        let tenancy = if orphaned {
            Tenancy::Vacant
        } else {
            leader.tenancy(name)
        };
        // A request for the lead in the row does not show that the leader is present.
        if !leader.is_same_renewal(&self.leader) {
            self.leadership
                .record_leader_row(leader.token, tenancy, clock::now());
        }
        self.stored_parts = self.stored_parts.max(leader.parts).min(MAX_PARTS);
        *self.shared.leader.lock().expect("leader lock") = leader.clone();
        self.leader = leader;
    }

    /// Writes a request into the leader row, unless the row has changed.
    pub(super) async fn write_request(&mut self, request: Transfer) -> Result<(), Fault> {
        let leader = Leader {
            transfer: Some(request),
            ..self.leader.clone()
        };
        let mut transaction = Transaction {
            expected: vec![self.precondition()],
            ..Transaction::default()
        };
        if leader.parts > 0 {
            // The further rows stay as they are: they belong to the same number.
            let row = (LEADERS, OWNER_KEY.into(), row::encode(&leader));
            transaction.puts.push(row);
        } else {
            self.put_leader(&leader, &mut transaction);
        }
        let outcome = self.shared.store.transact(&transaction, STORE_TIMEOUT);
        if let Outcome::Conflict(rows) = outcome.await? {
            rows.iter().for_each(|row| self.observe(row));
        }
        Ok(())
    }

    /// Adds the lists in further rows to the leader of another process. A row is not taken if it
    /// belongs to another write than the leader row. If one is missing, none is taken: the workers in
    /// them are members, so they are awaited as after a crash.
    pub(super) async fn read_parts(&mut self) -> Result<(), Fault> {
        if self.leader.parts == 0 {
            return Ok(());
        }
        let store = &self.shared.store;
        let (rows, _) = store.read(LISTS, "", "", "", STORE_TIMEOUT).await?;
        let parts = rows
            .iter()
            .filter_map(|row| row::decode(&row.key, row.content.as_ref()?));
        let parts: Vec<LeaderPart> = parts.collect();
        match LeaderRows::join(&self.leader, &parts) {
            Some(leader) => self.leader = leader,
            None => {
                log::error!(event = "leader-list-incomplete", token = self.leader.token,
                    renewal = self.leader.renewal, parts = self.leader.parts,
                    found = parts.len(); "");
                self.leader.parts = 0;
            }
        }
        Ok(())
    }

    /// Adds the rows of a leader to a transaction, and deletes further rows that are no longer used.
    /// Returns the number of further rows.
    fn put_leader(&self, leader: &Leader, transaction: &mut Transaction) -> u32 {
        let rows = LeaderRows::divide(leader);
        let outdated = rows.owner.parts..self.stored_parts;
        let outdated = outdated.map(|position| (LISTS, row::part_key(position)));
        transaction.deletes.extend(outdated);
        let parts = rows.parts.iter();
        let parts = parts.map(|part| (LISTS, row::part_key(part.position), row::encode(part)));
        transaction.puts.extend(parts);
        let owner = (LEADERS, OWNER_KEY.into(), row::encode(&rows.owner));
        transaction.puts.push(owner);
        rows.owner.parts
    }

    fn precondition(&self) -> Precondition {
        Precondition {
            table: LEADERS,
            key: OWNER_KEY.into(),
            version: self.row_version,
        }
    }

    /// Writes the leader row together with `changes` of other rows, on condition that no other
    /// instance has written the leader row. Returns whether they were written.
    ///
    /// The row gets the next number, since an earlier write without an answer may be stored.
    pub(super) async fn write(
        &mut self,
        leader: Leader,
        changes: Transaction,
        timeout: Duration,
    ) -> Result<bool, Fault> {
        self.last_write += 1;
        let leader = Leader {
            renewal: self.last_write,
            ..leader
        };
        let mut transaction = changes;
        transaction.expected = vec![self.precondition()];
        let parts = self.put_leader(&leader, &mut transaction);
        self.stored_parts = self.stored_parts.max(parts);
        for _ in 0..WRITE_ATTEMPTS {
            let rows = match self.shared.store.transact(&transaction, timeout).await? {
                Outcome::Applied(version) => {
                    self.row_version = version;
                    self.stored_parts = parts;
                    self.leader = leader;
                    return Ok(true);
                }
                Outcome::Conflict(rows) => rows,
            };
            let Some((version, found)) = own_row(&rows, &leader) else {
                rows.iter().for_each(|row| self.observe(row));
                return Ok(false);
            };
            // Another instance added a request to the row, or an earlier write of this instance was
            // applied, but its response was lost. Other instances count the age of the renewal from
            // that write, so the row is written again.
            self.requested = found.transfer.or(self.requested.take());
            transaction.expected[0].version = version;
        }
        Ok(false)
    }
}

/// Returns version and content of the leader row if it is that of the term of `leader`.
fn own_row(rows: &[Row], leader: &Leader) -> Option<(u64, Leader)> {
    let row = rows.iter().find(|row| &*row.key == OWNER_KEY)?;
    let found = row::decode::<Leader>(OWNER_KEY, row.content.as_ref()?)?;
    leader.is_same_term(&found).then_some((row.version, found))
}
