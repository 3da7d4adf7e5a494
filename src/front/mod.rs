//! HTTP front ends of an entry instance.
//!
//! [`callers`] serves the callers' port with hyper, one task per connection, and sends calls on to
//! targets. [`operators`] serves the operators' port with salvo. Everything that they decide comes
//! from [`crate::call`] and [`crate::node`].

pub mod callers;
pub mod operators;
