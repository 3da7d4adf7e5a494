//! Scheduling of jobs with simulated workers and simulated time.

mod bed;
mod ends;
mod place;
mod pools;
mod takeover;
mod upkeep;
