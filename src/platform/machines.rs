use super::{Answer, Command};

/// Drains and reboots of instances.
pub trait Machines: Send + Sync + 'static {
    /// Accepts an order; it is carried out later.
    ///
    /// An order with a fencing token older than the newest accepted one is rejected with
    /// [`super::Error::Conflict`], whose key is the name of the instance.
    fn order(&self, command: Command) -> Answer<'_, ()>;
}
