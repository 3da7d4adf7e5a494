use super::{Action, InstanceId};

/// One step of a move, of a reboot or of a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// Instance whose phase changes.
    pub instance: InstanceId,
    /// What changes.
    pub action: Action,
}

impl Step {
    /// Makes a step.
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
