//! How an instance follows the leader row and takes over, as `src/entry/lead.rs` and
//! `src/entry/candidate.rs` do.

use std::time::Duration;

use coriandernotch::batch::{Leader, LeaderPart, LeaderRows, Role, Tenancy};

use crate::answer::Answer;
use crate::content::Content;
use crate::ending::Ending;
use crate::key::Key;
use crate::page::Page;
use crate::purpose::Purpose;
use crate::request::Request;
use crate::row::Row;
use crate::store_call::StoreCall;
use crate::table::Table;
use crate::timer::Timer;
use crate::transaction::Transaction;
use crate::world::World;

/// Time between two reads of the leader row.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(90);

/// Longest delay before an instance tries to lead, in milliseconds.
const MAX_CANDIDACY_DELAY_MS: u64 = 620;

/// Delay after a call that failed.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Attempts to write the leader row when earlier writes of this instance conflict.
pub(crate) const WRITE_ATTEMPTS: u32 = 3;

/// Largest size of the lists in one row, so small that a few workers take several rows.
const MAX_LIST_BYTES: usize = 400;

/// Largest number of parts of the lists of the leader row.
const MAX_PARTS: u32 = 16;

impl World {
    pub(crate) fn follow_leader(&mut self, instance: usize) {
        let request = Request::Read(Table::Leaders, None);
        let call = self.store_call(instance, Purpose::Follow, request);
        self.call_store(call);
    }

    /// Handles a read of the leader row.
    pub(crate) fn finish_follow(&mut self, instance: usize, answer: Answer) {
        let Answer::Rows(Page { rows, .. }) = answer else {
            return self.follow_anew(instance, RETRY_DELAY);
        };
        let (now, now_ms) = (self.now, self.wall_ms());
        let entry = &mut self.instances[instance];
        if rows.is_empty() {
            entry.leadership.record_leader_row(0, Tenancy::Vacant, now);
        }
        for row in &rows {
            self.observe(instance, row);
        }
        let entry = &mut self.instances[instance];
        if std::mem::take(&mut entry.reads_anew) && entry.leader.renewed_ms > 0 {
            let age = Duration::from_millis(now_ms - entry.leader.renewed_ms);
            entry.leadership.backdate_last_change(age, now);
        }
        if entry.leadership.may_become_leader(now) {
            let delay = self.random.ms(0..MAX_CANDIDACY_DELAY_MS);
            self.set_timer(instance, delay, Timer::TakeOver);
        } else {
            self.set_timer(instance, FOLLOW_INTERVAL, Timer::Follow);
        }
    }

    fn follow_anew(&mut self, instance: usize, after: Duration) {
        self.instances[instance].reads_anew = true;
        self.set_timer(instance, after, Timer::Follow);
    }

    /// Records a version of the leader row.
    pub(crate) fn observe(&mut self, instance: usize, row: &Row) {
        let entry = &mut self.instances[instance];
        let Content::Leader(leader) = &row.content else {
            return;
        };
        if row.version <= entry.row_version {
            return;
        }
        entry.row_version = row.version;
        let life = u64::from(entry.process.life);
        let orphaned = leader.holder == entry.name && leader.incarnation < life;
        let tenancy = if orphaned {
            Tenancy::Vacant
        } else {
            leader.tenancy(&entry.name)
        };
        if !leader.is_same_renewal(&entry.leader) {
            (entry.leadership).record_leader_row(leader.token, tenancy, self.now);
        }
        entry.leader = leader.clone();
    }

    /// Tries to become the leader.
    pub(crate) fn take_over(&mut self, instance: usize) {
        if self.instances[instance].leader.parts > 0 {
            let request = Request::Read(Table::LeaderParts, None);
            let call = self.store_call(instance, Purpose::ReadParts, request);
            return self.call_store(call);
        }
        let entry = &mut self.instances[instance];
        entry.resigned = entry.leader.vacant;
        if entry.resigned {
            let request = Request::Read(Table::Leaders, None);
            let call = self.store_call(instance, Purpose::ReadHandover, request);
            return self.call_store(call);
        }
        entry.inherited = entry.leader.busy.clone();
        self.write_first_row(instance);
    }

    /// Handles the read of the parts of the lists of the leader row.
    pub(crate) fn finish_parts(&mut self, instance: usize, answer: Answer) {
        let Answer::Rows(Page { rows, .. }) = answer else {
            return self.follow_anew(instance, RETRY_DELAY);
        };
        let parts = rows.into_iter().filter_map(|row| match row.content {
            Content::LeaderPart(part) => Some(part),
            _ => None,
        });
        let parts: Vec<LeaderPart> = parts.collect();
        let leader = &mut self.instances[instance].leader;
        match LeaderRows::join(leader, &parts) {
            Some(joined) => *leader = joined,
            None => leader.parts = 0,
        }
        self.take_over(instance);
    }

    /// Handles the read of the list of a leader that resigned.
    pub(crate) fn finish_handover(&mut self, instance: usize, answer: Answer) {
        let Answer::Rows(Page { rows, .. }) = answer else {
            return self.follow_anew(instance, RETRY_DELAY);
        };
        let entry = &mut self.instances[instance];
        entry.inherited.clear();
        for row in rows {
            if let Content::Handover(token, list) = row.content
                && token == entry.leader.token
            {
                entry.inherited = list;
            }
        }
        self.write_first_row(instance);
    }

    fn write_first_row(&mut self, instance: usize) {
        let now_ms = self.wall_ms();
        let entry = &self.instances[instance];
        let life = u64::from(entry.process.life);
        let leader = entry.leader.successor(&entry.name, life, now_ms);
        let leader = self.numbered(instance, leader);
        let request = self.leader_write(instance, &leader, Vec::new(), Vec::new());
        let purpose = Purpose::TakeOver(leader, WRITE_ATTEMPTS - 1);
        let call = self.store_call(instance, purpose, request);
        self.call_store(call);
    }

    /// Returns a row with the number of the next write of the leader row by an instance.
    pub(crate) fn numbered(&mut self, instance: usize, leader: Leader) -> Leader {
        let entry = &mut self.instances[instance];
        entry.last_write += 1;
        Leader {
            renewal: entry.last_write,
            ..leader
        }
    }

    /// Returns the call that writes the leader row together with changes of other rows.
    pub(crate) fn leader_write(
        &self,
        instance: usize,
        leader: &Leader,
        mut puts: Vec<(Key, Content)>,
        mut deletes: Vec<Key>,
    ) -> Request {
        let rows = LeaderRows::divide_into(leader, MAX_LIST_BYTES);
        deletes.extend((rows.owner.parts..MAX_PARTS).map(Key::LeaderPart));
        let parts = rows.parts.into_iter();
        puts.extend(parts.map(|part| (Key::LeaderPart(part.position), Content::LeaderPart(part))));
        puts.push((Key::Leader, Content::Leader(rows.owner)));
        Request::Write(Transaction {
            expected: (Key::Leader, self.instances[instance].row_version),
            puts,
            deletes,
        })
    }

    /// Sends a write of the leader row again after a conflict with an earlier write of the same
    /// term. Returns false if the conflict is with another one.
    pub(crate) fn repeat_leader_write(
        &mut self,
        call: &StoreCall,
        leader: &Leader,
        found: Option<&Row>,
    ) -> bool {
        let (Purpose::TakeOver(_, attempts)
        | Purpose::Renew(_, attempts)
        | Purpose::Resign(_, attempts)) = call.purpose
        else {
            return false;
        };
        let Some(row) = found.filter(|_| attempts > 0) else {
            return false;
        };
        let Content::Leader(content) = &row.content else {
            return false;
        };
        if !leader.is_same_term(content) {
            return false;
        }
        let mut repeated = call.clone();
        if let Purpose::TakeOver(_, attempts)
        | Purpose::Renew(_, attempts)
        | Purpose::Resign(_, attempts) = &mut repeated.purpose
        {
            *attempts -= 1;
        }
        if let Request::Write(transaction) = &mut repeated.request {
            transaction.expected.1 = row.version;
        }
        self.call_store(repeated);
        true
    }

    pub(crate) fn finish_take_over(&mut self, call: &StoreCall, leader: Leader, answer: &Answer) {
        let instance = call.process.instance;
        match answer {
            Answer::Applied(version) => {
                let entry = &mut self.instances[instance];
                entry.row_version = *version;
                entry.leader = leader;
                entry.leader.busy = entry.inherited.clone();
                entry.leadership.begin(entry.leader.token, call.sent);
                entry.begun = self.now;
                self.load(instance);
            }
            Answer::Conflict(found) => {
                if !self.repeat_leader_write(call, &leader, found.as_deref()) {
                    found.iter().for_each(|row| self.observe(instance, row));
                    self.set_timer(instance, Duration::ZERO, Timer::Follow);
                }
            }
            Answer::Rows(_) | Answer::Feed(_) | Answer::Failed => {
                self.follow_anew(instance, RETRY_DELAY);
            }
        }
    }

    /// Ends the term of an instance, which follows the leader row from then on.
    pub(crate) fn end_term(&mut self, instance: usize) {
        let now = self.now;
        let entry = &mut self.instances[instance];
        entry.leadership.end(now);
        let ending = entry.term.as_mut().and_then(|term| term.ending.take());
        entry.abort_tasks();
        match ending {
            Some(Ending::Stop(away)) => self.crash(instance, away),
            Some(Ending::Transfer(_)) | None => self.follow_anew(instance, Duration::ZERO),
        }
    }

    pub(crate) fn is_leading(&self, instance: usize) -> bool {
        self.instances[instance].leadership.standing(self.now) == Role::Leader
    }
}
