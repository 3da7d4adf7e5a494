//! Tests of entry instances that run in one process, on loopback, against simulated platform
//! services and targets.

mod bed;
mod calls;
mod idempotency;
mod instances;
#[path = "../bed/log_lines.rs"]
mod log_lines;
