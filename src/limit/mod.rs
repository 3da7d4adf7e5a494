//! Fleet-wide limits on running units per workspace, enforced without a store write per call.
//!
//! A unit is one call or job run that holds a permit. The limit of a workspace is split into
//! quotas of the voters of a version ([`Allocation`]), and instances with demand borrow permits
//! from their peers for a fixed term ([`Loan`]). A [`Ledger`] holds the permits of one entry
//! instance. It does no I/O: it returns the [`Envelope`]s to send and is passed the messages of
//! peers.
//!
//! A version is closed when no unit in the fleet can run under the quotas of an older version; a
//! ledger then drops the older ones. An instance has settled in a version when its permits in use
//! or lent fit its quotas in that version and in all older versions that are not dropped.
//!
//! Safety relies on four assumptions about the caller:
//! - work starts only after [`Ledger::check`], while the configuration evidence is at most
//!   [`FRESHNESS`] old, and ends before the instant that `check` returned;
//! - a change is passed to [`Ledger::prepare`] before its acknowledgement is sent;
//! - a committed version is passed to [`Ledger::install`] before any evidence for it is used;
//! - a restarted process uses a new incarnation.

mod account;
mod allocation;
mod basis;
mod cap;
mod denial;
mod envelope;
mod grant;
mod ledger;
mod loan;
mod loan_id;
mod mark;
mod peer;
mod peer_id;
mod permit;
mod phase;
mod reply;
mod report;
mod request;
mod source;
mod terms;
mod version;

pub use allocation::Allocation;
pub use basis::Basis;
pub use cap::Cap;
pub use denial::Denial;
pub use envelope::Envelope;
pub use ledger::Ledger;
pub use loan::Loan;
pub use loan_id::LoanId;
pub use mark::TermsId;
pub use peer_id::PeerId;
pub use permit::Permit;
pub use reply::Reply;
pub use report::Report;
pub use request::Request;
pub use source::Source;
pub use terms::Terms;

use std::time::Duration;

pub use crate::config::{FRESHNESS, Voter};

/// Time for which a loan may be used, counted by the borrower from when it sent the request.
pub const LOAN_TERM: Duration = Duration::from_secs(5);

/// Hashes bytes in the same way in every build, because all instances must compute the same split.
///
/// FNV-1a with the finalizer of SplitMix64, because FNV-1a alone leaves the hashes of short names
/// correlated.
fn hash(seed: u64, bytes: &[u8]) -> u64 {
    let fnv = bytes.iter().fold(seed ^ 0xcbf2_9ce4_8422_2325, |h, b| {
        (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3)
    });
    mix(fnv)
}

/// Hashes the name and incarnation of an instance.
fn hash_voter(voter: &Voter) -> u64 {
    hash(voter.incarnation, voter.name.as_bytes())
}

fn mix(value: u64) -> u64 {
    let z = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
