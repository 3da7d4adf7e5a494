//! Scheduling of jobs with simulated workers and simulated time.

mod advice;
mod contender;
mod cost;
mod emptying;
mod ends;
mod handover;
mod history;
mod lost_workers;
mod maintenance;
mod members;
mod moved_queues;
mod new_connections;
mod occurrences;
mod odd_config;
mod odd_jobs;
mod pace;
mod place;
mod pools;
mod progress;
mod removed_queues;
mod restart;
mod rows;
mod shutdown;
mod simulation;
mod takeover;
mod waits;
