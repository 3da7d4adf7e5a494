use crate::fleet::{ServiceId, TeamId};

/// What refusals have in common that are counted together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Refusal {
    /// Reason that the callers got.
    pub reason: &'static str,
    /// Team, once its key was known.
    pub team: Option<TeamId>,
    /// Service, once it was known.
    pub service: Option<ServiceId>,
}
