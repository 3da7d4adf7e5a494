use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;

use super::candidate::Candidate;
use super::flush;
use super::handover::Handover;
use super::row::{self, LEADERS};
use super::schedule;
use super::shared::{STORE_TIMEOUT, Shared, sleep_jittered};
use super::term::Term;
use crate::batch::{Leader, Occupancy, Transfer};
use crate::clock;
use crate::platform::api::{Fault, Feed, Transaction};

/// Time for which one call of the change feed waits for changes of the leader row.
const FEED_WAIT: Duration = Duration::from_millis(900);

/// Delay after a call that failed.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Attempts to write the first leader row of a term while the outcome is unknown.
const TAKEOVER_ATTEMPTS: usize = 3;

/// Maximum of the additional delay that keeps instances from trying to lead at the same time.
const MAX_CANDIDACY_JITTER: Duration = Duration::from_millis(120);

/// Follows the leader row and takes over leadership when there is no leader, until the instance
/// stops.
pub(super) async fn lead(shared: Arc<Shared>) {
    // A task of an earlier term may have panicked while it held the engine.
    *shared.term.lock().expect("term lock") = None;
    let mut candidate = Candidate::new(shared);
    while !candidate.shared.is_stopping() {
        if let Err(fault) = candidate.follow().await {
            log::debug!(event = "leader-unknown", fault:% = fault; "");
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

impl Candidate {
    /// Reads the leader row and its changes, and leads when this instance becomes the leader.
    async fn follow(&mut self) -> Result<(), Fault> {
        self.read().await?;
        while !self.shared.is_stopping() {
            if self.leadership.may_become_leader(clock::now()) && self.may_lead() {
                let delay = (self.contender).candidacy_delay(self.leader.strength, clock::now());
                tokio::time::sleep(delay).await;
                sleep_jittered(&self.shared.settings.name, MAX_CANDIDACY_JITTER).await;
                let resigned = self.leader.vacant;
                if let Some(inherited) = self.try_become_leader().await? {
                    self.lead_term(inherited, resigned).await;
                    self.read().await?;
                }
                continue;
            }
            if self.request().is_some() {
                self.ask_for_lead().await?;
            }
            if !self.read_changes(FEED_WAIT).await? {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Reads the changes of the leader row, for which the store waits up to `wait`. Returns false
    /// if the store no longer has them.
    pub(super) async fn read_changes(&mut self, wait: Duration) -> Result<bool, Fault> {
        let store = &self.shared.store;
        let Feed::Changes(rows, version) = store.feed(LEADERS, self.table_version, wait).await?
        else {
            return Ok(false);
        };
        self.table_version = version;
        rows.iter().for_each(|row| self.observe(row));
        Ok(true)
    }

    pub(super) fn may_lead(&self) -> bool {
        !self.shared.is_stopping() && self.shared.has_fresh_config(clock::now())
    }

    /// Tries to become the leader. Returns the workers that may have runs of the previous leader if
    /// this instance is the leader now.
    ///
    /// Repeats a write whose outcome is unknown: if it was applied, nobody else takes over soon.
    async fn try_become_leader(&mut self) -> Result<Option<Vec<Occupancy>>, Fault> {
        self.read_parts().await?;
        let inherited = self.inherited_workers().await?;
        let mut attempts = 1;
        loop {
            match self.write_first_row().await {
                Err(fault @ Fault::Unknown { .. }) if attempts < TAKEOVER_ATTEMPTS => {
                    log::warn!(event = "takeover-retried", fault:% = fault; "");
                    attempts += 1;
                    tokio::time::sleep(RETRY_DELAY).await;
                }
                is_leader => return Ok(is_leader?.then_some(inherited)),
            }
        }
    }

    /// Writes the first leader row of a term. Returns whether this instance is the leader now.
    async fn write_first_row(&mut self) -> Result<bool, Fault> {
        let sent = clock::now();
        let sent_ms = self.shared.store.clock_ms(sent).unwrap_or_default();
        let (name, incarnation) = (&self.shared.settings.name, self.shared.incarnation);
        let leader = Leader {
            strength: self.contender.strength(sent),
            ..self.leader.successor(name, incarnation, sent_ms)
        };
        let (predecessor, strength) = (self.leader.holder.clone(), leader.strength);
        let written = self.write(leader, Transaction::default(), STORE_TIMEOUT);
        if !written.await? {
            return Ok(false);
        }
        let token = self.leader.token;
        let silence = sent.since(self.leadership.last_change());
        self.leadership.begin(token, sent);
        self.requested = None;
        self.contender.begin_term();
        log::info!(event = "leadership-begun", token, predecessor, strength:? = strength,
            silence_ms = silence.as_millis(); "");
        Ok(true)
    }

    /// Returns the workers that may have runs of the previous leader: all of them if it resigned,
    /// otherwise those that did not answer it.
    async fn inherited_workers(&self) -> Result<Vec<Occupancy>, Fault> {
        if !self.leader.vacant {
            return Ok(self.leader.busy.clone());
        }
        let store = &self.shared.store;
        let (rows, _) = store.read(LEADERS, "", "", "", STORE_TIMEOUT).await?;
        let handovers = rows.iter().filter(|row| Handover::is_key(&row.key));
        let handovers =
            handovers.filter_map(|row| row::decode::<Handover>(&row.key, row.content.as_ref()?));
        let token = self.leader.token;
        let current = handovers.filter(|handover| handover.token == token);
        Ok(current.flat_map(|handover| handover.busy).collect())
    }

    /// Leads until another instance takes over, the leadership expires or this instance stops.
    async fn lead_term(&mut self, inherited: Vec<Occupancy>, resigned: bool) {
        let term = match self.load_term(inherited, resigned).await {
            Ok(term) => Arc::new(term),
            Err(reason) => return self.abandon_term(reason),
        };
        *self.shared.term.lock().expect("term lock") = Some(term.clone());
        let mut tasks = JoinSet::new();
        schedule::spawn(&self.shared, &term, &mut tasks);
        let mut flush_task = JoinSet::new();
        flush_task.spawn(flush::flush(self.shared.clone(), term.clone()));
        let granted = tokio::select! {
            granted = self.renew_until_end(&term) => granted,
            () = await_panic(&mut tasks) => end_after_panic(&term),
            () = await_panic(&mut flush_task) => end_after_panic(&term),
        };
        *self.shared.term.lock().expect("term lock") = None;
        // Ends all other tasks first: nothing may start a run after the list for the next leader is
        // made.
        tasks.shutdown().await;
        let resigns = (self.shared.is_stopping() || granted.is_some()) && !term.has_ended();
        if resigns && finish_flush(&term, &mut flush_task).await {
            self.resign(&term, granted).await;
        }
        self.leadership.end(clock::now());
    }

    /// Ends a term whose state was not loaded.
    fn abandon_term(&mut self, reason: &str) {
        log::warn!(event = "leadership-ended", token = self.leader.token, reason; "");
        self.leadership.end(clock::now());
    }

    /// Gives up the leadership, so that the instance that asked for it, or else any other one, can
    /// take over without waiting for its expiry.
    async fn resign(&mut self, term: &Term, granted: Option<Transfer>) {
        term.end(match granted {
            Some(_) => "a stronger instance asked for the lead",
            None => "the instance stops",
        });
        let mut leader = Leader {
            vacant: true,
            ..self.next_row(term)
        };
        if let Some(request) = granted {
            leader.transferee = request.to;
            let now = clock::now();
            if term.is_behind(now) {
                leader.behind_ms = leader.renewed_ms;
                self.contender.record_behind(now);
            }
        }
        let runs = term.engine().list_busy_workers(clock::now());
        let handover = Handover::transaction(&leader, &runs);
        self.write_resignation(leader, handover).await;
    }

    pub(super) async fn write_resignation(&mut self, leader: Leader, handover: Transaction) {
        let (token, to) = (leader.token, leader.transferee.clone());
        match self.write(leader, handover, STORE_TIMEOUT).await {
            Ok(_) => log::info!(event = "leadership-resigned", token, to; ""),
            Err(fault) => log::warn!(event = "resign-failed", fault:% = fault; ""),
        }
    }
}

/// Waits until all changes are stored. Returns false if the term has ended before that: then the list
/// for the next leader would not be complete.
async fn finish_flush(term: &Term, flush_task: &mut JoinSet<()>) -> bool {
    term.begin_resignation();
    let result = flush_task.join_next().await;
    result.is_some_and(|result| result.is_ok()) && !term.has_ended()
}

fn end_after_panic(term: &Term) -> Option<Transfer> {
    term.end("a task of the leader panicked");
    None
}

/// Waits until one of some tasks panics. The others would go on without it.
async fn await_panic(tasks: &mut JoinSet<()>) {
    while let Some(result) = tasks.join_next().await {
        if result.is_err_and(|error| error.is_panic()) {
            return;
        }
    }
    std::future::pending::<()>().await;
}
