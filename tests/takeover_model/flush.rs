//! How a leader stores changes of jobs, as `src/entry/flush.rs` and `src/entry/partition.rs` do.

use std::time::Duration;

use coriandernotch::batch::Resolution;

use crate::answer::Answer;
use crate::content::Content;
use crate::ending::Ending;
use crate::key::Key;
use crate::partition::{PARTITIONS, partition_of};
use crate::purpose::Purpose;
use crate::request::Request;
use crate::table::Table;
use crate::term::{Changes, Term};
use crate::timer::Timer;
use crate::transaction::Transaction;
use crate::violation::Violation;
use crate::world::World;

/// Maximum number of jobs in one transaction.
const MAX_BATCH_JOBS: usize = 60;

/// Maximum number of ended jobs whose rows one transaction deletes.
const MAX_DELETED_JOBS: usize = 12;

/// Delay before changes are stored that callers wait for, and before others are.
const URGENT_DELAY: Duration = Duration::from_millis(15);
const DELAY: Duration = Duration::from_millis(45);

/// Delay after a transaction that failed.
const RETRY_DELAY: Duration = Duration::from_millis(120);

impl World {
    /// Sets the timers by which changes are stored, and resigns once a leader that stops has none.
    pub(crate) fn plan_flushes(&mut self, instance: usize) {
        let Some(term) = &mut self.instances[instance].term else {
            return;
        };
        let Some(urgent) = term.engine.has_changes_to_store() else {
            if term.ending.is_some() && !term.is_flushing.contains(&true) {
                self.resign(instance);
            }
            return;
        };
        let due: Vec<u8> = (0..PARTITIONS)
            .filter(|part| !std::mem::replace(&mut term.is_flushing[usize::from(*part)], true))
            .collect();
        for part in due {
            let delay = if urgent { URGENT_DELAY } else { DELAY };
            self.set_timer(instance, delay, Timer::Flush(part));
        }
    }

    /// Stores all changes that are not confirmed as stored before the leader resigns.
    pub(crate) fn begin_last_flush(&mut self, instance: usize, ending: Ending) {
        let Some(term) = &mut self.instances[instance].term else {
            return;
        };
        term.ending = Some(ending);
        self.plan_flushes(instance);
    }

    /// Sends the changes of a partition.
    pub(crate) fn flush(&mut self, instance: usize, part: u8) {
        let wall_ms = self.wall_ms();
        let Some(term) = &mut self.instances[instance].term else {
            return;
        };
        let index = usize::from(part);
        if term.changes[index].is_none() {
            term.changes[index] = take_changes(term, part, wall_ms);
        }
        let Some(changes) = &term.changes[index] else {
            term.is_flushing[index] = false;
            if term.ending.is_some() {
                self.plan_flushes(instance);
            }
            return;
        };
        let writer = &term.writers[index];
        let (purpose, request) = if writer.knows_fence() {
            let fence = (Key::Fence(part), Content::Fence(writer.next_fence()));
            let transaction = Transaction {
                expected: (Key::Fence(part), writer.version()),
                puts: changes.puts.iter().cloned().chain([fence]).collect(),
                deletes: changes.deletes.clone(),
            };
            (Purpose::Flush(part), Request::Write(transaction))
        } else {
            let request = Request::Read(Table::Fence(part), None);
            (Purpose::PrepareFlush(part), request)
        };
        let call = self.store_call(instance, purpose, request);
        self.call_store(call);
    }

    /// Handles the answer to a call by which changes are stored.
    pub(crate) fn continue_flush(&mut self, instance: usize, purpose: &Purpose, answer: &Answer) {
        let (Purpose::Flush(part) | Purpose::PrepareFlush(part) | Purpose::ResolveFlush(part)) =
            *purpose
        else {
            return;
        };
        let Some(term) = &mut self.instances[instance].term else {
            return;
        };
        let writer = &mut term.writers[usize::from(part)];
        match (purpose, answer) {
            (Purpose::Flush(_), Answer::Applied(version)) => {
                writer.record_applied(*version);
                self.finish_flush(instance, part);
            }
            (Purpose::Flush(_), Answer::Conflict(_)) => {
                let request = Request::Read(Table::Fence(part), None);
                let call = self.store_call(instance, Purpose::ResolveFlush(part), request);
                self.call_store(call);
            }
            (_, Answer::Rows(page)) => {
                let Some((version, fence)) = page.rows.iter().find_map(|row| match row.content {
                    Content::Fence(fence) => Some((row.version, fence)),
                    _ => None,
                }) else {
                    return self.end_term(instance);
                };
                let resolution = if matches!(purpose, Purpose::ResolveFlush(_)) {
                    writer.resolve_conflict(version, fence)
                } else if writer.observe(version, fence) {
                    Resolution::Resend
                } else {
                    Resolution::Superseded
                };
                match resolution {
                    Resolution::Stored => self.finish_flush(instance, part),
                    Resolution::Resend => self.flush(instance, part),
                    Resolution::Superseded => self.end_term(instance),
                }
            }
            _ => self.set_timer(instance, RETRY_DELAY, Timer::Flush(part)),
        }
    }

    fn finish_flush(&mut self, instance: usize, part: u8) {
        let Some(term) = &mut self.instances[instance].term else {
            return;
        };
        let index = usize::from(part);
        term.is_flushing[index] = false;
        let changes = term.changes[index].take();
        if let Some(changes) = changes {
            let is_lost = |(key, content): &&(Key, Content)| {
                matches!(content, Content::Progress(progress)
                    if !self.store.has_stored(key, progress))
            };
            if let Some((key, _)) = changes.puts.iter().find(is_lost) {
                let violation = Violation::NotStored(format!("{key:?}"));
                self.audit.violation.get_or_insert(violation);
            }
            for (job, change) in changes.jobs {
                term.engine.record_stored_change(job, change);
            }
            let version = term.writers[index].version();
            term.engine.record_deletion(changes.deleted, version);
            // A leader that stops shows nothing to callers.
            if term.ending.is_none() {
                self.audit_completions(&changes.puts);
            }
        }
        self.plan_flushes(instance);
    }
}

fn take_changes(term: &mut Term, part: u8, wall_ms: u64) -> Option<Changes> {
    let selected = |id: &str| partition_of(id) == part;
    let rows = term.engine.take_unstored(MAX_BATCH_JOBS, selected);
    if rows.is_empty() {
        return None;
    }
    let mut changes = Changes {
        puts: Vec::new(),
        deletes: Vec::new(),
        jobs: Vec::new(),
        deleted: Vec::new(),
    };
    for (key, id, change, progress) in rows {
        let row = (Key::Progress(part, id), Content::Progress(progress));
        changes.puts.push(row);
        changes.jobs.push((key, change));
    }
    changes.deleted = (term.engine).take_outdated(wall_ms, MAX_DELETED_JOBS, selected);
    for id in &changes.deleted {
        changes.deletes.push(Key::Job(part, id.clone()));
        changes.deletes.push(Key::Progress(part, id.clone()));
    }
    Some(changes)
}
