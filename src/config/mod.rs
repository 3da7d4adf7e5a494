//! Versions of the configuration, and how an instance knows that its version is current.
//!
//! The head row of the table determines which version is in force. An instance admits work only
//! while [`State::is_fresh`] holds, and applies the strictest rule of the versions in
//! [`State::enforced`]. The proof and the faults considered are in
//! `docs/notes/configuration.md`.

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
mod state;
mod version;
mod vote;
mod voter;
mod want;
mod write_head;

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

/// Maximum age of the evidence on which an instance may admit work.
///
/// A change takes effect within 4 s; this leaves 1 s for clock drift, rounding and dispatch.
pub const FRESHNESS: Duration = Duration::from_secs(3);

/// Maximum time for which the platform's list of instances may omit one that is running.
pub const LIST_LAG: Duration = Duration::from_secs(30);

/// Maximum time between two reads of the platform's list for an omission to count as continuous.
pub const LIST_GAP: Duration = Duration::from_secs(10);

/// Maximum time between two calls of [`State`] after which an instance keeps its vote.
///
/// The platform may consider a paused process dead and omit it from its list. After such a pause
/// the instance must not affirm, since a commit may have excluded it from the quorum.
pub const PAUSE_LIMIT: Duration = Duration::from_secs(10);

/// Time after which an instance fences a prepared version whose result it does not know.
pub const FENCE_AFTER: Duration = Duration::from_secs(2);

/// Additional fence delay for each position in the list of voters, so that they do not all write
/// at once.
pub const FENCE_STAGGER: Duration = Duration::from_millis(50);

/// Maximum number of prepared versions that an instance keeps; it refuses further ones.
pub const MAX_PENDING: usize = 4;

/// Unit of the ages in an [`Affirmation`]; the largest age, 253 units, exceeds [`FRESHNESS`].
pub const AGE_UNIT: Duration = Duration::from_millis(16);
