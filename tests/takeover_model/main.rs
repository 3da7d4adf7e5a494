//! Simulates changes of the leader over a store that loses answers and carries out writes late, and
//! checks that no task runs twice and that lasting tasks run while nothing disturbs the system.
//!
//! The instances use the decisions of [`coriandernotch::batch`]; the store, the workers and the
//! messages between them are models with their own clock. A failed case can be repeated with
//! `TAKEOVER_SEED`, and its events are printed with `TAKEOVER_TRACE=1`.

mod act;
mod action;
mod answer;
mod audit;
mod cases;
mod content;
mod dispatch;
mod ending;
mod event;
mod exhaustive;
mod fault;
mod feed;
mod flush;
mod follow;
mod follow_jobs;
mod follow_workers;
mod handle;
mod history;
mod idle_log;
mod incident;
mod instance;
mod job;
mod key;
mod kind;
mod lasting;
mod lasting_cases;
mod load;
mod loading;
mod machines;
mod network;
mod new_worker;
mod orders;
mod outage;
mod page;
mod partition;
mod platform;
mod poll;
mod process;
mod purpose;
mod queue;
mod random;
mod regressions;
mod renew;
mod request;
mod restart;
mod restart_before_cut;
mod row;
mod scenario;
mod schedule;
mod seeded;
mod store;
mod store_call;
mod table;
mod term;
mod timer;
mod transaction;
mod violation;
mod worker;
mod worker_answer;
mod worker_call;
mod worker_request;
mod world;
