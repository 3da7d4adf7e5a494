use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::candidate::Candidate;
use super::load;
use super::renew::{RENEWAL_INTERVAL, RENEWAL_TIMEOUT};
use super::shared::STORE_TIMEOUT;
use super::term::Term;
use crate::batch::{Leader, Occupancy, Role};
use crate::clock;
use crate::platform::api::Transaction;

/// Maximum time for loading the state. A leader that takes longer leaves the term to another
/// instance, before the leases of inherited workers have expired unseen.
const LOAD_TIMEOUT: Duration = Duration::from_secs(10);

impl Candidate {
    /// Loads the state of a new term and renews the leadership meanwhile: with a slow store or many
    /// jobs, loading takes longer than other instances wait before they take over.
    ///
    /// Fails with the reason why the term ends.
    pub(super) async fn load_term(
        &mut self,
        inherited: Vec<Occupancy>,
        resigned: bool,
    ) -> Result<Term, &'static str> {
        let shared = self.shared.clone();
        let leader = Leader {
            busy: inherited.clone(),
            ..self.leader.clone()
        };
        let load = load::load(&shared, &leader, self.leadership, resigned, clock::now());
        let term = tokio::select! {
            term = timeout(LOAD_TIMEOUT, load) => term,
            reason = self.renew_until_superseded(&inherited, resigned) => return Err(reason),
        };
        let term = term.map_err(|_| "the state was not loaded in time")?;
        let term = term.ok_or("another instance leads")?;
        self.pass_on_renewal(&term);
        Ok(term)
    }

    /// Renews the leadership until another instance leads, a stronger one asks for the lead or no
    /// renewal succeeds for too long, and returns the reason.
    async fn renew_until_superseded(
        &mut self,
        inherited: &[Occupancy],
        resigned: bool,
    ) -> &'static str {
        let mut timeout = RENEWAL_TIMEOUT;
        loop {
            sleep(RENEWAL_INTERVAL).await;
            let sent = clock::now();
            let sent_ms = self.shared.store.clock_ms(sent).unwrap_or_default();
            let leader = self.leader.renewed_while_loading(sent_ms);
            timeout = match self.write(leader, Transaction::default(), timeout).await {
                Ok(true) => {
                    self.leadership.renew(sent);
                    if let Some(request) = self.granted_request(false, None) {
                        self.make_way(request, inherited, resigned).await;
                        return "a stronger instance asked for the lead";
                    }
                    RENEWAL_TIMEOUT
                }
                Ok(false) => return "another instance leads",
                Err(fault) => {
                    log::warn!(event = "renewal-failed", fault:% = fault; "");
                    STORE_TIMEOUT
                }
            };
            if self.leadership.standing(clock::now()) != Role::Leader {
                return "no renewal for too long";
            }
        }
    }

    /// Passes the last renewal to a term that was loaded meanwhile.
    fn pass_on_renewal(&self, term: &Term) {
        *term.leadership.lock().expect("leadership lock") = self.leadership;
        term.engine().record_renewal(self.leadership.last_renewal());
    }
}
