//! Entry instances on a stand-in of the users' platform, and the contract of its adapter.

mod contract;
mod mode;
mod process;
mod standin;
mod store;
mod worker;
