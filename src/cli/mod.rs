//! Commands of the program.

mod answer;
mod apply;
mod change;
mod check;
mod command;
mod data_centre;
mod demo;
mod entry;
mod exit;
mod explain;
mod failure;
mod format;
mod key;
mod log;
mod measure;
mod operator;
mod options;
mod read;
mod run;
mod serve;
mod table;

pub use check::{check, check_to};
pub use command::{Command, USAGE};
pub use format::Format;
pub use run::run;
