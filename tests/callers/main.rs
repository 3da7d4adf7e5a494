//! Hostile, broken and slow callers and targets at the callers' port.

mod bed;
mod bodies;
mod cancel;
mod framing;
mod health;
mod secrets;
mod slow;
mod targets;
