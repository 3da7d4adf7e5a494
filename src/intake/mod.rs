//! Bounds on what the connections of a process occupy, whatever the other side sends.
//!
//! [`Ledger`] decides who is admitted and who is evicted; it knows no sockets. [`Registry`] shares it
//! between the tasks of a process, [`Connection`] is the place of one connection, and [`serve`] runs the
//! connections of a port.

mod admission;
mod body;
mod cause;
mod charge;
mod complete_body;
mod connection;
mod decision;
mod entry;
mod evicted;
mod exchange;
mod fault;
mod key;
mod ledger;
mod limits;
mod listen;
mod log_throttle;
mod port;
mod priority;
mod progress;
mod registry;
mod response_body;
mod serve;
mod slot;
mod stage;
mod state;
mod stream;

pub use admission::Admission;
pub use body::read;
pub use cause::Cause;
pub use charge::Charge;
pub use complete_body::CompleteBody;
pub use connection::Connection;
pub use decision::Decision;
pub use evicted::Evicted;
pub use exchange::Exchange;
pub use fault::Fault;
pub use key::Key;
pub use ledger::Ledger;
pub use limits::{
    CALL_BYTES, CONNECTION_BYTES, DEFAULT_MEMORY_MB, Limits, READ_BYTES, SMALL_BYTES,
};
pub use listen::listen;
pub use log_throttle::LogThrottle;
pub use port::Port;
pub use progress::Progress;
pub use registry::Registry;
pub use serve::{serve, serve_until};
pub use slot::Slot;
pub use stage::Stage;
pub use stream::Stream;
