use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slotmap::new_key_type;

use super::{Health, NameHash, Ramp};
use crate::clock::Instant;
use crate::fleet::DataCentreId;
use crate::platform::State;

/// Time over which a target regains all its slots after the end of an ejection.
const READMISSION_RAMP: Duration = Duration::from_secs(10);

new_key_type! {
    /// Key of a target in [`super::Targets`].
    pub struct TargetId;
}

/// State that one entry instance keeps about a target of a service.
#[derive(Clone, Debug)]
pub struct Target {
    /// Name in the platform's list.
    pub name: Arc<str>,
    /// Hash of the name, which identifies the target in the reports of peers.
    pub tag: NameHash,
    /// Address at which it accepts calls.
    pub address: SocketAddr,
    /// Data centre in which it runs; `None` when the fleet document does not contain it.
    pub data_centre: Option<DataCentreId>,
    /// State in the platform's list, or leaving once the target itself announced it.
    pub state: State,
    /// Whether it is listed in the service's pool and takes calls there.
    pub in_pool: bool,
    /// Running calls that this entry instance dispatched to it.
    pub running: u32,
    /// Running calls that peers reported for it.
    pub reported: u32,
    /// Health from the outcomes of calls.
    pub health: Health,
    /// Slow start after its data centre was put back into service.
    pub ramp: Option<Ramp>,
}

impl Target {
    /// Returns the load by which two targets are compared: running calls divided by usable slots.
    pub(super) fn load(&self, slots: u32, now: Instant) -> f32 {
        (self.running + self.reported) as f32 / self.usable_slots(slots, now) as f32
    }

    /// Returns the number of slots usable at `now`, which is lower during a slow start.
    pub(super) fn usable_slots(&self, slots: u32, now: Instant) -> u32 {
        let by_ramp = self.ramp.map_or(slots, |ramp| ramp.slots(slots, now));
        let by_ejection = match self.health.ejected_until() {
            Some(until) => Ramp::new(until, READMISSION_RAMP).slots(slots, now),
            None => slots,
        };
        by_ramp.min(by_ejection)
    }

    /// Returns whether the platform's list and its pool allow new calls on it; ignores its health.
    pub(super) fn accepts_calls(&self) -> bool {
        self.in_pool && self.state == State::Live
    }

    pub(super) fn has_slot(&self, slots: u32, now: Instant) -> bool {
        self.accepts_calls()
            && !self.health.is_ejected(now)
            && self.running + self.reported < self.usable_slots(slots, now)
    }
}
