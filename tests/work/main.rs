//! Tests of jobs from submission to end, with entry instances and stand-in workers in one process.

mod bed;
mod faults;
#[path = "../bed/log_lines.rs"]
mod log_lines;
mod submission;
