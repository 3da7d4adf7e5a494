//! Puts versions of the configuration into force in one entry instance.
//!
//! [`Control`] holds the [`crate::config::State`] and passes each change on to the dispatcher and
//! its ledger before the lock is released, so that an acknowledgement never leaves before the
//! acknowledged version is enforced.

mod applied;
#[expect(
    clippy::module_inception,
    reason = "the module is named after its main type"
)]
mod control;

pub use control::Control;
