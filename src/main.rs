//! The `coriandernotch` program.

fn main() {}
