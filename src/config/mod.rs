//! Versions of the configuration and how an instance knows that its version is current.
//!
//! The head row of the table decides which version is in force. An instance admits work only
//! while [`State::is_fresh`] holds, under the strictest of [`State::enforced`]. The proof and the
//! faults considered are in `docs/notes/configuration.md`.

mod ack;
mod affirmation;
mod change;
mod commit;
mod freshness;
mod head;
mod operation;
mod origin;
mod outcome;
mod pending;
mod position;
mod prepare;
mod presence;
mod revision;
mod settle;
mod state;
mod version;
mod vote;
mod voter;
mod want;

pub use ack::Ack;
pub use affirmation::Affirmation;
pub use change::Change;
pub use commit::Commit;
pub use freshness::Freshness;
pub use head::Head;
pub use operation::Operation;
pub use origin::Origin;
pub use outcome::{Outcome, Reason};
pub use pending::Pending;
pub use position::Position;
pub use prepare::Prepare;
pub use presence::Presence;
pub use revision::Revision;
pub use state::State;
pub use version::Version;
pub use vote::Vote;
pub use voter::Voter;
pub use want::Want;

use std::time::Duration;

/// Key of the row that holds the head.
pub const HEAD_KEY: &str = "fleet/head";

/// Age up to which evidence allows work to be admitted.
///
/// Leaves 1 s of the 4 s for a change to take effect to clock drift, rounding and dispatch.
pub const FRESHNESS: Duration = Duration::from_secs(3);

/// Longest time for which the platform's list omits an instance that runs.
pub const LIST_LAG: Duration = Duration::from_secs(30);

/// Longest time between two reads of the list over which an omission counts as uninterrupted.
pub const LIST_GAP: Duration = Duration::from_secs(10);

/// Longest time without any call of [`State`] after which an instance still has its vote.
///
/// The platform may take a stopped process for dead and omit it from the list. It must then not
/// affirm after it resumes, since a commit may have left it out of the count.
pub const PAUSE_LIMIT: Duration = Duration::from_secs(10);

/// Age at which a prepared version without a known result is fenced off.
pub const FENCE_AFTER: Duration = Duration::from_secs(2);

/// Additional delay of a fence per place in the list of voters, so that they do not all write.
pub const FENCE_STEP: Duration = Duration::from_millis(50);

/// Most prepared versions that an instance keeps; further ones are refused.
pub const MAX_PENDING: usize = 4;

/// Unit of the ages in an [`Affirmation`]; 253 of them cover [`FRESHNESS`].
pub const AGE_UNIT: Duration = Duration::from_millis(16);
