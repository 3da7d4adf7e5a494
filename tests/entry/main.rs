//! Tests of entry instances on a stand-in of the platform, and of the clients in `platform::api`.

mod contract;
mod instance;
mod mode;
mod odd_entries;
mod platform;
mod process;
mod standin;
mod store;
mod takeover;
mod worker;
