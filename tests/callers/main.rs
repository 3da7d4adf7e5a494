//! Hostile, broken and slow callers and targets at the callers' port.

mod bed;
mod framing;
mod slow;
mod targets;
