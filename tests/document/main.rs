//! Reading and validation of settings and fleet documents.

mod check;
mod problems;
mod reading;
mod text;
