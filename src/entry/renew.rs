//! Renewals of the leadership in a term.

use std::time::Duration;

use super::admit;
use super::candidate::Candidate;
use super::outlook;
use super::row::{self, ESTIMATES, ESTIMATES_KEY, MEMBERS};
use super::shared::STORE_TIMEOUT;
use super::term::Term;
use crate::batch::admission::Publication;
use crate::batch::{Leader, MemberChanges, Role, Transfer, row_bytes};
use crate::clock::{self, Instant};
use crate::platform::api::Transaction;

/// Time between two renewals of the leadership.
pub(super) const RENEWAL_INTERVAL: Duration = Duration::from_millis(400);

/// Timeout of a renewal that follows a successful one. It is short so that, after a lost response,
/// there is time for another attempt before other instances take over. That attempt gets
/// [`STORE_TIMEOUT`].
pub(super) const RENEWAL_TIMEOUT: Duration = Duration::from_millis(700);

/// What a renewal contained that the store refused for good, besides the rows of the leader.
struct Withdrawn {
    members: MemberChanges,
    /// Whether there were rows that the leadership does not need. They are held back for a while, so
    /// the members are tried once more before any of them is blamed.
    has_further_rows: bool,
}

impl Candidate {
    /// Renews the leadership until the term ends, this instance stops or a stronger one asks for the
    /// lead. Returns that request.
    pub(super) async fn renew_until_end(&mut self, term: &Term) -> Option<Transfer> {
        let loaded_at = clock::now();
        let mut publication = Publication::new(loaded_at);
        let mut timeout = STORE_TIMEOUT;
        let mut withdrawn: Option<Withdrawn> = None;
        while !term.has_ended() && !self.shared.is_stopping() {
            let sent = clock::now();
            let leader = self.next_row(term);
            // The rows of the leader go alone after a refusal, which may be due to any of the others.
            let is_alone = withdrawn.is_some();
            let mut changes = if is_alone {
                Transaction::default()
            } else {
                member_transaction(&term.engine().take_member_changes())
            };
            let (members, removed) = (changes.puts.len(), changes.deletes.len());
            let leader_bytes = row_bytes(&leader);
            let estimates = if publication.may_add_rows(sent) {
                term.engine().take_outdated_estimates(sent)
            } else {
                None
            };
            let stores_estimates = estimates.is_some();
            let estimates = estimates.iter().map(row::encode);
            (changes.puts).extend(estimates.map(|row| (ESTIMATES, ESTIMATES_KEY.into(), row)));
            let outlook = self.next_outlook(term, &publication, sent);
            changes.puts.extend(outlook.as_ref().map(outlook::put));
            let has_further_rows = stores_estimates || outlook.is_some();
            timeout = match self.write(leader, changes, timeout).await {
                Ok(true) => {
                    self.record_renewal(term, sent);
                    admit::record_call(&self.shared, clock::now().since(sent));
                    publication.record_success();
                    if let Some(refused) = withdrawn.take().filter(|w| !w.has_further_rows) {
                        term.engine().refuse_member_changes(&refused.members);
                    }
                    if let Some(outlook) = outlook {
                        self.take_outlook(outlook.clone(), sent);
                        publication.record(outlook, sent);
                    }
                    let is_behind = term.is_behind(clock::now());
                    if let Some(request) = self.granted_request(is_behind, Some(loaded_at)) {
                        return Some(request);
                    }
                    if term.engine().has_unstored_members()
                        || term.engine().has_unstored_queue_services()
                    {
                        continue;
                    }
                    RENEWAL_TIMEOUT
                }
                Ok(false) => {
                    term.end("another instance leads");
                    return None;
                }
                Err(fault) => {
                    admit::record_call(&self.shared, clock::now().since(sent));
                    publication.record_failure(fault.is_permanent(), clock::now());
                    log::warn!(event = "renewal-failed", fault:% = fault, members,
                        leader_bytes; "");
                    if stores_estimates {
                        term.engine().record_unstored_estimates();
                    }
                    timeout = STORE_TIMEOUT;
                    if fault.is_permanent() && (members + removed > 0 || has_further_rows) {
                        withdrawn = Some(Withdrawn {
                            members: term.engine().withdraw_member_changes(),
                            has_further_rows,
                        });
                        continue;
                    }
                    STORE_TIMEOUT
                }
            };
            if term.engine().is_fenced() {
                term.end("a worker knows a newer leader");
            }
            if self.leadership.standing(clock::now()) != Role::Leader {
                term.end("no renewal for too long");
            }
            tokio::select! {
                () = tokio::time::sleep(RENEWAL_INTERVAL) => {}
                () = term.renewal_wake.notified() => {}
                () = term.end_signal.notified() => {}
                () = self.shared.stop.notified() => {}
            }
        }
        None
    }

    fn record_renewal(&mut self, term: &Term, sent: Instant) {
        self.leadership.renew(sent);
        *term.leadership.lock().expect("leadership lock") = self.leadership;
        term.engine().record_renewal(sent);
        // Members that are stored now may get tasks.
        term.placement_wake.notify_one();
    }

    /// Returns the leader row for the next renewal.
    pub(super) fn next_row(&self, term: &Term) -> Leader {
        let now = clock::now();
        let now_ms = self.shared.store.clock_ms(now).unwrap_or_default();
        Leader {
            strength: (self.contender).strength_as_leader(term.is_behind(now), now),
            ..self.leader.renewed(&mut term.engine(), now_ms, now)
        }
    }
}

/// Returns the changes of the stored members as changes of rows.
fn member_transaction(changes: &MemberChanges) -> Transaction {
    let added = changes.added.iter();
    let removed = changes.removed.iter();
    Transaction {
        puts: added
            .map(|member| (MEMBERS, member.worker.to_string(), row::encode(member)))
            .collect(),
        deletes: removed.map(|id| (MEMBERS, id.to_string())).collect(),
        ..Transaction::default()
    }
}
