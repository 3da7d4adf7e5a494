//! Stand-in of a machine that runs jobs under leases.
//!
//! | call | request | answer |
//! |---|---|---|
//! | run | `POST /jobs/{id}` with an [`Order`] | 201, 200 when it runs already, 503 no room |
//! | renew | `POST /jobs/{id}/renew` with `{"token": T, "lease-ms": N}` | 204 |
//! | checkpoint | `POST /jobs/{id}/checkpoint` with `{"token": T}` | 204, the job stops |
//! | throttle | `POST /jobs/{id}/throttle` with `{"token": T, "percent": N}` | 204 |
//! | stop | `POST /jobs/{id}/stop` with `{"token": T}` | 204 |
//! | size | `GET /machine` | 200 [`Need`], all that the machine has |
//! | report | `GET /jobs` | 200 list of [`Report`], as it was some time ago |
//!
//! Each order carries the fencing token of the shard (`shard` names it) under which it was given.
//! The machine remembers the highest token of each shard and answers 409 with that token to an
//! older one. 404 means that the job is not on the machine, 400 a malformed request. A job whose
//! lease ends is stopped.

mod behaviour;
mod command;
mod machine;
mod need;
mod order;
mod refusal;
mod report;
mod run;
mod server;
mod status;
mod task;

pub use behaviour::Behaviour;
pub use command::Command;
pub use machine::Machine;
pub use need::Need;
pub use order::Order;
pub use refusal::Refusal;
pub use report::Report;
pub use run::Run;
pub use server::Worker;
pub use status::Status;
