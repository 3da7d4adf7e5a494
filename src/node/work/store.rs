use std::sync::Arc;
use std::time::Duration;

use super::batch::Batch;
use super::command::Command;
use super::entry::Phase;
use super::holder::Holder;
use super::lease;
use super::request::Request;
use crate::clock::{self, Instant};
use crate::jobs::{Record, State, unix_time_ms};
use crate::platform::{Condition, Error, Write};

/// Time after which the lease is renewed when there is nothing else to write.
const RENEW_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two reads of the change rows when no signal announces a change.
const SCAN_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two transactions of a queue, per queue of the fleet. Limits the whole fleet to 200
/// transactions a second of the several hundred that the table service can process.
const INTERVAL_PER_QUEUE: Duration = Duration::from_millis(5);

/// Shortest time between two transactions of one queue.
const MIN_INTERVAL: Duration = Duration::from_millis(25);

/// Time for which ended jobs can be queried and idempotency keys are kept.
const RETENTION_MS: u64 = 24 * 3_600_000;

impl Holder {
    /// Reads the change rows and applies the jobs that they refer to.
    pub(super) async fn read_changes(&mut self, now: Instant) {
        if !self.may_have_changes && now.since(self.scanned_at) < SCAN_INTERVAL {
            return;
        }
        (self.may_have_changes, self.scanned_at) = (false, now);
        let table = self.gate.shared.platform.table.clone();
        let prefix = Record::change_prefix(&self.gate.queue);
        let Ok(rows) = table.scan(prefix.into(), "".into(), Batch::MAX_ROWS).await else {
            return;
        };
        let id = |key: &str| key.rsplit_once('/').map(|(_, id)| Arc::<str>::from(id));
        let unread = rows
            .iter()
            .filter_map(|row| Some((id(&row.key)?, row.version)));
        let known = |change: &(Arc<str>, u64)| self.handled_changes.contains(change);
        let unread: Vec<_> = unread.filter(|change| !known(change)).collect();
        // After a full page there may be more rows.
        self.may_have_changes = rows.len() == Batch::MAX_ROWS;
        let reads = unread
            .iter()
            .map(|(id, _)| table.read(Record::key(&self.gate.queue, id).into()));
        let jobs = futures_util::future::join_all(reads).await;
        for (change, job) in unread.into_iter().zip(jobs) {
            match job {
                Ok(row) => {
                    if let Some(row) = row {
                        self.apply_row(&row, now);
                    }
                    self.handled_changes.retain(|(id, _)| *id != change.0);
                    self.handled_changes.push(change);
                }
                // The change row stays, so the next scan reads the job again.
                Err(_) => self.may_have_changes = true,
            }
        }
        self.add_unscheduled(now);
    }

    /// Writes the changed jobs and renews the lease, at most once per interval.
    pub(super) async fn flush(&mut self) {
        let now = clock::now();
        let since = now.since(self.written_at);
        let current = self.gate.shared.control.current();
        let queues = current.map_or(1, |c| c.document().map_or(1, |d| d.queues.len()));
        let interval =
            (INTERVAL_PER_QUEUE * u32::try_from(queues).unwrap_or(u32::MAX)).max(MIN_INTERVAL);
        let has_work =
            !self.dirty.is_empty() || !self.handled_changes.is_empty() || self.pending.is_some();
        if since < interval || (!has_work && since < RENEW_INTERVAL) {
            return;
        }
        self.written_at = now;
        let batch = match self.pending.take() {
            Some(batch) => batch,
            None => match self.make_batch(now) {
                Some(batch) => batch,
                None => return,
            },
        };
        if batch.uncertain {
            return self.resolve(batch).await;
        }
        self.commit(batch).await;
    }

    async fn commit(&mut self, mut batch: Batch) {
        let sent = clock::now();
        let table = self.gate.shared.platform.table.clone();
        match table.transact(batch.writes.clone()).await {
            Ok(versions) => self.apply_commit(&batch, &versions, sent),
            Err(Error::Conflict { key }) if key == lease::key(&self.gate.queue) => {
                self.resolve(batch).await;
            }
            Err(Error::Conflict { key }) => {
                self.mark_jobs_dirty(&batch);
                self.reread_row(&key).await;
            }
            Err(Error::Unknown { .. }) => {
                batch.uncertain = true;
                self.pending = Some(batch);
            }
            // An earlier attempt may have taken effect, so the same writes are sent again.
            Err(Error::Unavailable { .. }) if batch.uncertain => self.pending = Some(batch),
            Err(Error::Unavailable { .. }) => self.mark_jobs_dirty(&batch),
        }
    }

    /// Reads the lease row to find out whether a transaction took effect, and sends it again if
    /// not.
    async fn resolve(&mut self, batch: Batch) {
        let Ok((row, version)) = lease::read(&self.gate.shared, &self.gate.queue).await else {
            self.pending = Some(Batch {
                uncertain: true,
                ..batch
            });
            return;
        };
        if row == batch.tenure {
            // Versions grow by one with each write.
            let versions: Vec<u64> = batch.writes.iter().map(next_version).collect();
            // The first attempt may be the one that took effect, so the lease starts when it was
            // sent.
            return self.apply_commit(&batch, &versions, batch.sent_at);
        }
        if version == self.version {
            return Box::pin(self.commit(batch)).await;
        }
        log::warn!(event = "queue-lost", queue = self.gate.queue, holder = row.holder; "");
        self.gate.close();
        self.queue_lost = true;
    }

    fn make_batch(&mut self, now: Instant) -> Option<Batch> {
        // If the lease lapsed in an outage, the same holder acquires it again with a new token.
        let tenure = self.shard.renew(now).or_else(|| self.shard.acquire(now))?;
        let queue = self.gate.queue.clone();
        let mut writes = vec![lease::make_write(&queue, &tenure, self.version)];
        let mut jobs = Vec::new();
        while jobs.len() < Batch::MAX_ROWS {
            let Some(id) = self.dirty.pop_front() else {
                break;
            };
            let Some(entry) = self.entries.get_mut(&id) else {
                continue;
            };
            entry.dirty = false;
            let condition = Condition::Version(entry.version);
            let key = Record::key(&queue, &id);
            writes.push(Write::put(&key, condition, &entry.record.to_json()));
            jobs.push(id);
        }
        let mut changes = Vec::new();
        for (id, version) in self.handled_changes.iter().take(Batch::MAX_ROWS) {
            let key = Record::change_key(&queue, id);
            writes.push(Write::delete(&key, Condition::Version(*version)));
            changes.push(id.clone());
        }
        let cutoff_ms = unix_time_ms().saturating_sub(RETENTION_MS);
        let expired = self.ended.iter().take_while(|(at, ..)| *at < cutoff_ms);
        for (_, id, version) in expired.take(Batch::MAX_ROWS) {
            let condition = Condition::Version(*version);
            writes.push(Write::delete(&Record::key(&queue, id), condition));
        }
        Some(Batch {
            tenure,
            writes,
            jobs,
            changes,
            sent_at: now,
            uncertain: false,
        })
    }

    /// Queues the jobs of a transaction that had no effect for writing again.
    fn mark_jobs_dirty(&mut self, batch: &Batch) {
        for id in &batch.jobs {
            self.mark_dirty(id);
        }
    }

    /// Reads a row again whose version differed from the one a transaction expected.
    async fn reread_row(&mut self, key: &Arc<str>) {
        let table = self.gate.shared.platform.table.clone();
        self.may_have_changes = true;
        let id = key.rsplit_once('/').map_or("", |(_, id)| id);
        self.handled_changes.retain(|(other, _)| **other != *id);
        self.ended.retain(|(_, other, _)| **other != *id);
        if let Ok(Some(row)) = table.read(Record::key(&self.gate.queue, id).into()).await {
            self.apply_row(&row, clock::now());
        }
    }

    /// Records that a transaction took effect, and sends the starts whose rows it wrote.
    fn apply_commit(&mut self, batch: &Batch, versions: &[u64], sent: Instant) {
        self.version = versions.first().copied().unwrap_or(self.version);
        self.shard.write_succeeded(batch.tenure, sent);
        self.open_gate(sent);
        for (id, version) in batch.jobs.iter().zip(&versions[1..]) {
            let Some(entry) = self.entries.get_mut(id) else {
                continue;
            };
            entry.version = entry.version.max(*version);
            if entry.phase == Phase::Decided && !entry.dirty {
                self.send_start(id, sent);
            } else if entry.record.state.is_final() && !entry.dirty {
                self.forget(id);
            }
        }
        self.handled_changes
            .retain(|(id, _)| !batch.changes.contains(id));
        let deleted = batch.writes.len() - 1 - batch.jobs.len() - batch.changes.len();
        self.ended.drain(..deleted.min(self.ended.len()));
    }

    /// Sends the start of a job whose row is written.
    fn send_start(&mut self, id: &Arc<str>, now: Instant) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        let (Some(permit), Some(job)) = (entry.permit, entry.job) else {
            return;
        };
        entry.phase = Phase::Active;
        let record = &entry.record;
        debug_assert_eq!(
            record.state,
            State::Starting,
            "only a job in state starting is sent"
        );
        let size = self
            .scheduler
            .job(job)
            .map_or(record.size, |job| job.charge);
        let queue = self.gate.queue.clone();
        let body = Request::new(queue, size, &record.payload, record.done_ms);
        let (workspace, run) = (record.workspace.clone(), record.run);
        let start = |run| Command::Start {
            run,
            workspace,
            permit,
            body,
        };
        if !self.send_command(id, start) {
            self.revert_start(id, run, now);
        }
    }

    /// Removes an ended job from memory; its row stays for [`RETENTION_MS`].
    fn forget(&mut self, id: &Arc<str>) {
        let Some(entry) = self.entries.remove(id) else {
            return;
        };
        if let Some(job) = entry.job {
            self.job_ids.remove(&job);
            self.scheduler.forget(job);
        }
        let row = (entry.record.changed, id.clone(), entry.version);
        self.ended.push_back(row);
    }

    /// Gives up the lease, so that another instance can take the queue at once.
    pub(super) async fn resign(&mut self) {
        self.written_at = Instant::default();
        self.flush().await;
        self.gate.close();
        if let Some(tenure) = self
            .shard
            .resign(clock::now())
            .filter(|_| self.pending.is_none())
        {
            let write = lease::make_write(&self.gate.queue, &tenure, self.version);
            let table = self.gate.shared.platform.table.clone();
            if let Err(error) = table.transact(vec![write]).await {
                log::warn!(event = "resign-failed", queue = self.gate.queue, error:% = error; "");
            }
        }
        self.leave();
    }
}

fn next_version(write: &Write) -> u64 {
    match write.condition {
        Condition::Version(version) => version + 1,
        Condition::Absent | Condition::Any => 1,
    }
}
