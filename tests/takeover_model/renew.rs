//! How a leader renews its leadership and resigns, as `src/entry/renew.rs` and
//! `src/entry/lead.rs` do.

use std::sync::Arc;
use std::time::Duration;

use coriandernotch::batch::{Leader, MemberChanges, Occupancy};

use crate::answer::Answer;
use crate::content::Content;
use crate::ending::Ending;
use crate::follow::WRITE_ATTEMPTS;
use crate::key::Key;
use crate::purpose::Purpose;
use crate::store_call::StoreCall;
use crate::timer::Timer;
use crate::world::World;

/// Time between two renewals.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(400);

/// Timeout of a renewal that follows a successful one.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(700);

impl World {
    pub(crate) fn renew(&mut self, instance: usize) {
        let (now, now_ms) = (self.now, self.wall_ms());
        let entry = &mut self.instances[instance];
        let Some(term) = entry.term.as_mut().filter(|term| !term.is_renewing) else {
            return;
        };
        term.is_renewing = true;
        let renewal_failed = term.renewal_failed;
        let leader = entry.leader.renewed(&mut term.engine, now_ms, now);
        let (puts, deletes) = member_rows(&term.engine.take_member_changes());
        let leader = self.numbered(instance, leader);
        let request = self.leader_write(instance, &leader, puts, deletes);
        let purpose = Purpose::Renew(leader, WRITE_ATTEMPTS - 1);
        let mut call = self.store_call(instance, purpose, request);
        if !renewal_failed {
            call.timeout = RENEWAL_TIMEOUT;
        }
        self.call_store(call);
    }

    pub(crate) fn finish_renewal(&mut self, call: &StoreCall, leader: Leader, answer: &Answer) {
        let instance = call.process.instance;
        if let Answer::Conflict(found) = answer {
            if !self.repeat_leader_write(call, &leader, found.as_deref()) {
                found.iter().for_each(|row| self.observe(instance, row));
                self.end_term(instance);
            }
            return;
        }
        let entry = &mut self.instances[instance];
        let Some(term) = &mut entry.term else {
            return;
        };
        term.is_renewing = false;
        term.renewal_failed = !matches!(answer, Answer::Applied(_));
        if let Answer::Applied(version) = answer {
            (entry.row_version, entry.leader) = (*version, leader);
            entry.leadership.renew(call.sent);
            term.engine.record_renewal(call.sent);
            if term.engine.has_unstored_members() {
                return self.renew(instance);
            }
        }
        if term.engine.is_fenced() || !self.is_leading(instance) {
            return self.end_term(instance);
        }
        self.set_timer(instance, RENEWAL_INTERVAL, Timer::Renew);
    }

    /// Gives up the leadership.
    pub(crate) fn resign(&mut self, instance: usize) {
        let (now, now_ms) = (self.now, self.wall_ms());
        let entry = &mut self.instances[instance];
        let Some(term) = &mut entry.term else {
            return;
        };
        let transferee = match &term.ending {
            Some(Ending::Transfer(to)) => to.clone(),
            _ => Arc::default(),
        };
        let leader = Leader {
            vacant: true,
            transferee,
            ..entry.leader.renewed(&mut term.engine, now_ms, now)
        };
        let mut list = term.engine.list_busy_workers(now);
        Occupancy::shrink(&mut list, self.scenario.silent_list_bytes);
        let handover = (Key::Handover, Content::Handover(leader.token, list));
        let leader = self.numbered(instance, leader);
        let request = self.leader_write(instance, &leader, vec![handover], Vec::new());
        let purpose = Purpose::Resign(leader, WRITE_ATTEMPTS - 1);
        let call = self.store_call(instance, purpose, request);
        self.call_store(call);
    }

    /// Gives up a term in which no worker was used yet.
    pub(crate) fn make_way(&mut self, instance: usize, transferee: Arc<str>) {
        let now_ms = self.wall_ms();
        let entry = &mut self.instances[instance];
        entry.abort_tasks();
        let leader = Leader {
            vacant: entry.resigned,
            abandoned: !entry.resigned,
            transferee,
            busy: entry.inherited.clone(),
            ..entry.leader.renewed_while_loading(now_ms)
        };
        let list = Content::Handover(leader.token, entry.inherited.clone());
        let handover = entry.resigned.then_some((Key::Handover, list));
        let handover = handover.into_iter().collect();
        let leader = self.numbered(instance, leader);
        let request = self.leader_write(instance, &leader, handover, Vec::new());
        let purpose = Purpose::Resign(leader, WRITE_ATTEMPTS - 1);
        let call = self.store_call(instance, purpose, request);
        self.call_store(call);
    }

    pub(crate) fn finish_resignation(
        &mut self,
        call: &StoreCall,
        leader: &Leader,
        answer: &Answer,
    ) {
        if let Answer::Conflict(found) = answer
            && self.repeat_leader_write(call, leader, found.as_deref())
        {
            return;
        }
        self.end_term(call.process.instance);
    }
}

fn member_rows(changes: &MemberChanges) -> (Vec<(Key, Content)>, Vec<Key>) {
    let put = |member: &coriandernotch::batch::Member| {
        let key = Key::Member(member.worker.clone());
        (key, Content::Member(member.clone()))
    };
    let puts = changes.added.iter().map(put).collect();
    let deletes = changes.removed.iter().cloned().map(Key::Member).collect();
    (puts, deletes)
}
