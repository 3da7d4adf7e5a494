use super::{Answer, Command};

/// Drains and reboots of instances.
pub trait Machines: Send + Sync + 'static {
    /// Submits a command, which the platform carries out asynchronously.
    ///
    /// A command with a fencing token lower than the highest accepted one is rejected with
    /// [`super::Error::Conflict`], whose key is the name of the instance.
    fn order(&self, command: Command) -> Answer<'_, ()>;
}
