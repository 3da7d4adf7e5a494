//! HTTP front ends of an entry instance.
//!
//! [`callers`] serves the callers' port with hyper, one task per connection, and sends calls on to
//! targets. Everything that it decides comes from [`crate::call`].

pub mod callers;
