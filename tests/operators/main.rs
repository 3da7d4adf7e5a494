//! The operators' port of entry instances in one process, with a stand-in platform.

mod bed;
mod changes;
mod console;
mod events;
#[path = "../bed/log_lines.rs"]
mod log_lines;
mod roles;
