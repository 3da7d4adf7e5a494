use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Profile;
use crate::jobs::Size;

/// A worker as a leader records it in the store before it starts tasks there, so that the next
/// leader can reach it although its registration has expired.
///
/// ```
/// use coriandernotch::batch::{Member, Profile};
///
/// let profile = Profile { id: "i-1".into(), address: "10.0.0.1:80".into(), ..Profile::default() };
/// let member = Member::from(&profile);
/// assert!(member.describes(&profile));
/// assert!(!member.describes(&Profile { born_ms: 7, ..profile }));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Member {
    /// Id of the worker.
    pub worker: Arc<str>,
    /// Start time of the worker process in milliseconds since 1970; 0 if unknown.
    pub born_ms: u64,
    /// Service of the worker.
    pub service: Arc<str>,
    /// Address and port at which it accepts orders.
    pub address: Arc<str>,
    /// Machine on which the worker runs.
    pub machine: Arc<str>,
}

impl Member {
    /// Returns whether this is the worker process of a profile.
    pub fn describes(&self, profile: &Profile) -> bool {
        self.worker == profile.id
            && self.born_ms == profile.born_ms
            && self.service == profile.service
            && self.address == profile.address
            && self.machine == profile.machine
    }
}

impl From<&Profile> for Member {
    fn from(profile: &Profile) -> Self {
        Self {
            worker: profile.id.clone(),
            born_ms: profile.born_ms,
            service: profile.service.clone(),
            address: profile.address.clone(),
            machine: profile.machine.clone(),
        }
    }
}

/// Describes a worker that is not registered: it can be polled, and has no room for tasks.
impl From<Member> for Profile {
    fn from(member: Member) -> Self {
        Self {
            id: member.worker,
            born_ms: member.born_ms,
            service: member.service,
            address: member.address,
            machine: member.machine,
            capacity: Size::ZERO,
            ..Self::default()
        }
    }
}
