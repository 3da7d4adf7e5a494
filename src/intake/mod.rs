//! Bounds on what the connections of a process occupy, whatever the other side sends.
//!
//! [`Ledger`] decides who is admitted and who gives way; it knows no sockets. [`Gate`] shares it
//! between the tasks of a process, [`Seat`] is the place of one connection, and [`serve`] runs the
//! connections of a port.

mod admission;
mod body;
mod books;
mod cause;
mod charge;
mod evicted;
mod exchange;
mod fault;
mod gate;
mod guest;
mod held;
mod key;
mod ledger;
mod limits;
mod listen;
mod log_throttle;
mod port;
mod progress;
mod rank;
mod seat;
mod serve;
mod stage;
mod stream;
mod verdict;
mod whole;

pub use admission::Admission;
pub use body::read;
pub use cause::Cause;
pub use charge::Charge;
pub use evicted::Evicted;
pub use exchange::Exchange;
pub use fault::Fault;
pub use gate::Gate;
pub use key::Key;
pub use ledger::Ledger;
pub use limits::{CONNECTION_BYTES, Limits, READ_BYTES, SMALL_BYTES};
pub use listen::listen;
pub use log_throttle::LogThrottle;
pub use port::Port;
pub use progress::Progress;
pub use seat::Seat;
pub use serve::{serve, serve_until};
pub use stage::Stage;
pub use stream::Stream;
pub use verdict::Verdict;
pub use whole::Whole;
