//! Tests of entry instances on a stand-in of the platform, and of the clients in `platform::api`.

mod abandoned_calls;
mod contract;
mod end;
mod fleet;
mod handover;
mod hold;
mod holds;
mod instance;
mod load;
mod log;
#[path = "../bed/log_end.rs"]
mod log_end;
mod lost_answer;
mod lost_orders;
mod machines;
mod mode;
mod moment;
mod moves;
mod odd_entries;
mod odd_entry;
mod page;
mod pages;
mod platform;
mod port;
mod process;
mod refused_connections;
mod retention;
mod run;
mod silent_connections;
mod slow_load;
mod standin;
mod store;
mod takeover;
mod transfer;
mod withdrawn;
mod worker;
