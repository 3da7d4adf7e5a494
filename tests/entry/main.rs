//! Tests of entry instances on a stand-in of the platform, and of the clients in `platform::api`.

mod contract;
mod end;
mod handover;
mod instance;
mod log;
#[path = "../bed/log_end.rs"]
mod log_end;
mod mode;
mod odd_entries;
mod odd_entry;
mod platform;
mod port;
mod process;
mod run;
mod standin;
mod store;
mod takeover;
mod worker;
