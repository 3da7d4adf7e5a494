//! Stand-in of a back end that serves the requests of one service.
//!
//! A request carries its id in the header `x-request-id` and optionally its workspace in `x-workspace`. A
//! normal answer is 200 with the body of the request and its id, so that a crossed answer is
//! visible to the caller. Every run is recorded.

mod ending;
mod ledger;
mod mode;
mod overflow;
mod reply;
mod run;
mod server;

pub use ending::Ending;
pub use mode::Mode;
pub use overflow::Overflow;
pub use run::Run;
pub use server::Target;

/// Header that identifies a request; it is copied to the answer.
pub const REQUEST_ID: &str = "x-request-id";

/// Header that names the workspace of a request, for the records.
pub const WORKSPACE: &str = "x-workspace";

/// Requests that a target runs at once.
pub const SLOTS: usize = 8;
