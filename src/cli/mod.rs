//! Commands of the program.

mod check;

pub use check::{check, check_to};
