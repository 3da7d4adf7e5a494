//! Tests of processes of the system beside callers outside the limits.
//!
//! Each test checks only what does not depend on the speed of the machine: the process lives, its
//! memory and its descriptors stay under a bound, and an ordinary request is answered while the
//! crowd is connected.

#![allow(
    dead_code,
    reason = "the stand-ins of tests/entry are used only in part"
)]

mod back_end;
mod body;
mod crowd;
mod kind;
mod paused;
mod process;
mod refusals;
mod returning;
mod sampler;
mod scene;
mod service;
mod service_scene;
mod sockets;
mod stop;
mod streams;
mod traffic;
mod usage;

#[path = "../entry/end.rs"]
mod end;
#[path = "../entry/hold.rs"]
mod hold;
#[path = "../entry/holds.rs"]
mod holds;
#[path = "../entry/instance.rs"]
mod instance;
#[path = "../entry/leader_write.rs"]
mod leader_write;
#[path = "../entry/log.rs"]
mod log;
#[path = "../bed/log_end.rs"]
mod log_end;
#[path = "../entry/mode.rs"]
mod mode;
#[path = "../entry/moment.rs"]
mod moment;
#[path = "../entry/page.rs"]
mod page;
#[path = "../entry/platform.rs"]
mod platform;
#[path = "../entry/port.rs"]
mod port;
#[path = "../entry/run.rs"]
mod run;
#[path = "../entry/standin.rs"]
mod standin;
#[path = "../entry/store.rs"]
mod store;
#[path = "../entry/store_calls.rs"]
mod store_calls;
#[path = "../entry/store_state.rs"]
mod store_state;
#[path = "../entry/worker.rs"]
mod worker;
