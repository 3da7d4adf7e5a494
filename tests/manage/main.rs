//! End-to-end tests of pools, moves and maintenance, and of the roster that entry instances read.

#[path = "../bed/mod.rs"]
mod bed;
mod cluster;
mod roster;
mod waves;
