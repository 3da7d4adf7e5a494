//! Commands of the program as processes against entry instances.

mod bed;
mod commands;
mod faults;
