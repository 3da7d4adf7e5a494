//! Idempotency claims: a request with an idempotency key runs at most once in the fleet.
//!
//! Before a request is sent to a target, [`Manager::claim`] inserts the row `claims/{workspace}/{digest of
//! the key}` under the condition that it does not exist. The instance that inserts the row runs the
//! request. A repeated request finds the row, and gets the stored answer or a verdict that
//! says why it does not run. `docs/notes/idempotency.md` gives the reasons and the cost.

mod attempt;
mod batch;
mod body;
mod bucket;
mod claim_request;
mod decision;
mod failure;
mod manager;
mod orphans;
mod owner;
mod queue;
mod record;
mod reply;
mod settings;
mod stamp;
mod state;
mod sweep;
mod ticket;
mod upkeep;
mod verdict;

pub use bucket::Bucket;
pub use claim_request::ClaimRequest;
pub use decision::Decision;
pub use manager::Manager;
pub use owner::Owner;
pub use record::Claim;
pub use reply::Reply;
pub use settings::Settings;
pub use stamp::Timestamp;
pub use state::State;
pub use sweep::Sweep;
pub use ticket::Ticket;
pub use verdict::Verdict;

use std::time::Duration;

/// Time after the last change of a claim for which a repeated request is recognized.
pub const DEDUP_WINDOW: Duration = Duration::from_secs(24 * 3600);

/// Largest body of a stored answer, in bytes.
pub const MAX_BODY: usize = 64 << 10;

/// Largest total size of the header names and values of a stored answer, in bytes.
pub const MAX_HEADER_BYTES: usize = 16 << 10;
