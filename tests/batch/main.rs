//! Scheduling of jobs with simulated workers and simulated time.

mod cost;
mod ends;
mod handover;
mod maintenance;
mod members;
mod odd_jobs;
mod place;
mod pools;
mod restart;
mod simulation;
mod takeover;
