//! Transfers of the lead: asking the leader to make way, and making way.

use std::time::Duration;

use super::candidate::Candidate;
use super::handover::Handover;
use super::reach;
use super::shared::sleep_jittered;
use crate::batch::{Leader, Occupancy, Transfer};
use crate::clock::{self, Instant};
use crate::platform::api::{Fault, Transaction};

/// Maximum of the additional delay before an instance asks for the lead, so that one of many asks.
const MAX_REQUEST_JITTER: Duration = Duration::from_millis(300);

impl Candidate {
    /// Returns the request for the lead if this instance should lead instead of the leader.
    pub(super) fn request(&self) -> Option<Transfer> {
        if !self.may_lead() {
            return None;
        }
        let changed_at = self.leadership.last_change();
        let name = &self.shared.settings.name;
        self.contender
            .request(name, &self.leader, changed_at, clock::now())
    }

    /// Asks the leader to make way, unless another instance does so first or this one reaches none
    /// of the workers.
    pub(super) async fn ask_for_lead(&mut self) -> Result<(), Fault> {
        let delay = (self.contender).candidacy_delay(self.leader.strength, clock::now());
        tokio::time::sleep(delay).await;
        sleep_jittered(&self.shared.settings.name, MAX_REQUEST_JITTER).await;
        if !self.read_changes(Duration::ZERO).await? || self.request().is_none() {
            return Ok(());
        }
        let reaches_workers = reach::reaches_workers(&self.shared).await?;
        let Some(request) = self.request() else {
            return Ok(());
        };
        let token = self.leader.token;
        self.contender.record_request(token, clock::now());
        if !reaches_workers {
            log::info!(event = "lead-not-requested", token, reason = "no worker is reached"; "");
            return Ok(());
        }
        log::info!(event = "lead-requested", token, leader = self.leader.holder,
            strength:? = request.strength, leader_strength:? = self.leader.strength; "");
        self.write_request(request).await
    }

    /// Returns the request for the lead that this leader follows, after a write that may have met
    /// one.
    pub(super) fn granted_request(
        &mut self,
        is_behind: bool,
        loaded_at: Option<Instant>,
    ) -> Option<Transfer> {
        let now = clock::now();
        if let Some(request) = self.requested.take() {
            log::info!(event = "lead-request-received", token = self.leader.token,
                from = request.to, strength:? = request.strength, is_behind; "");
            self.contender.record_received(request, now);
        }
        let store_ms = self.shared.store.clock_ms(now).unwrap_or_default();
        let last_ms = self.leader.behind_ms;
        self.contender
            .granted(is_behind, loaded_at, last_ms, store_ms, now)
    }

    /// Gives up a term in which no worker was used yet, so that the next leader takes over from the
    /// predecessor of this one.
    pub(super) async fn make_way(
        &mut self,
        request: Transfer,
        inherited: &[Occupancy],
        resigned: bool,
    ) {
        let sent_ms = self.shared.store.clock_ms(clock::now()).unwrap_or_default();
        let unchanged = self.leader.renewed_while_loading(sent_ms);
        // After a resignation the next leader reads the whole list in the rows of the handover. Both
        // together would not fit into one transaction.
        let busy = if resigned {
            unchanged.busy.clone()
        } else {
            inherited.to_vec()
        };
        let leader = Leader {
            vacant: resigned,
            abandoned: !resigned,
            transferee: request.to,
            busy,
            ..unchanged
        };
        let handover = if resigned {
            Handover::transaction(&leader, inherited)
        } else {
            Transaction::default()
        };
        self.write_resignation(leader, handover).await;
    }
}
