//! Tests of configuration versions: searches over interleavings, and tables of faults.

mod interleavings;
mod messages;
mod model;
mod reachable;
mod store;
