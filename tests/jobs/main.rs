//! Tests of job scheduling: handling of faults, and invariants over random events.

mod admission;
mod fixture;
mod interleavings;
mod ownership;
mod placement;
mod preemption;
mod quarantine;
