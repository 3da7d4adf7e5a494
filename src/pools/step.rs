use super::{Action, InstanceId};

/// Change of the phase of one instance, as part of a move, a reboot or a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// Instance whose phase changes.
    pub instance: InstanceId,
    /// Change of its phase.
    pub action: Action,
}

impl Step {
    /// Creates a step.
    ///
    /// ```
    /// use coriandernotch::pools::{Action, InstanceId, Step};
    ///
    /// assert_eq!(Step::new(InstanceId(0), Action::Fail).action, Action::Fail);
    /// ```
    pub fn new(instance: InstanceId, action: Action) -> Self {
        Self { instance, action }
    }
}
