//! End-to-end tests of pools, moves and maintenance, and of the roster that entry instances read.

#[path = "../bed/mod.rs"]
mod bed;
mod cluster;
#[path = "../bed/log_lines.rs"]
mod log_lines;
mod roster;
mod waves;
