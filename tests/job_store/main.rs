//! Tests of the partitions of jobs and of what is sent to them, without a network.

mod deletions;
mod partition;
mod queue;
mod read_timeout;
mod replay;
