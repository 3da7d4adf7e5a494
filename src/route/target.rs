use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slotmap::new_key_type;

use super::{Health, Ramp, Tag};
use crate::clock::Instant;
use crate::fleet::DataCentreId;
use crate::platform::State;

/// Time in which a target that returns from an ejection gets back all its slots.
const RETURN_RAMP: Duration = Duration::from_secs(10);

new_key_type! {
    /// A target in [`super::Targets`].
    pub struct TargetId;
}

/// A target of a service as one entry instance knows it.
#[derive(Clone, Debug)]
pub struct Target {
    /// Name in the platform's list.
    pub name: Arc<str>,
    /// Key of the name in reports of peers.
    pub tag: Tag,
    /// Address at which it serves.
    pub address: SocketAddr,
    /// Data centre in which it runs, unless the fleet document does not know it.
    pub data_centre: Option<DataCentreId>,
    /// State in the platform's list, or leaving when the target said so itself.
    pub state: State,
    /// Whether it belongs to the service's pool and serves there.
    pub assigned: bool,
    /// Calls that this entry instance runs on it.
    pub running: u32,
    /// Calls that peers reported to run on it.
    pub reported: u32,
    /// Health from the outcomes of calls.
    pub health: Health,
    /// Gradual return after the data centre or the target came back.
    pub ramp: Option<Ramp>,
}

impl Target {
    /// Returns the load that decides between two targets: running calls over usable slots.
    pub(super) fn load(&self, slots: u32, now: Instant) -> f32 {
        (self.running + self.reported) as f32 / self.usable(slots, now) as f32
    }

    /// Returns the usable slots at `now`.
    pub(super) fn usable(&self, slots: u32, now: Instant) -> u32 {
        let by_ramp = self.ramp.map_or(slots, |ramp| ramp.slots(slots, now));
        let by_ejection = match self.health.ejected_until() {
            Some(until) => Ramp::new(until, RETURN_RAMP).slots(slots, now),
            None => slots,
        };
        by_ramp.min(by_ejection)
    }

    /// Returns whether new work may start on it, as far as the list and its pool say.
    pub(super) fn is_open(&self) -> bool {
        self.assigned && self.state == State::Live
    }

    pub(super) fn has_slot(&self, slots: u32, now: Instant) -> bool {
        self.is_open()
            && !self.health.is_ejected(now)
            && self.running + self.reported < self.usable(slots, now)
    }
}
