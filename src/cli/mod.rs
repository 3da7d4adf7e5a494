//! Commands of the program.

mod apply;
mod check;
mod command;
mod demo;
mod format;
mod log;
mod measure;
mod operator;
mod run;
mod serve;
mod status;

pub use check::{check, check_to};
pub use command::{Command, USAGE};
pub use format::Format;
pub use run::run;
