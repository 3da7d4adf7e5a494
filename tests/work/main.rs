//! Tests of jobs from submission to end, with entry instances and stand-in workers in one process.

mod bed;
mod faults;
mod submission;
