//! Tests of entry instances on a stand-in of the platform, and of the clients in `platform::api`.

mod contract;
mod mode;
mod process;
mod standin;
mod store;
mod worker;
