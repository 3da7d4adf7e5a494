//! Dispatch of calls, from admission to completion.
//!
//! A call waits in the [`Upstream`] of its service until the [`Dispatcher`] has a free slot on a
//! target and a permit of the workspace for it; a [`Grant`] holds both. [`Grant::send`] is the only
//! place that decides whether a call is dispatched: a call refused before it was certainly not run,
//! after it the call may have run. No type here depends on a message encoding, so that other front
//! ends can use them.

mod budget;
mod completion;
mod dispatcher;
mod figures;
mod grant;
mod load;
mod order;
mod outcome;
mod upstream;

pub use budget::Budget;
pub use completion::Completion;
pub use dispatcher::Dispatcher;
pub use grant::Grant;
pub use load::Load;
pub use order::Order;
pub use outcome::Outcome;
pub use upstream::Upstream;
