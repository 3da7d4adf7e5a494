//! Tests of the platform services that the in-process client and the HTTP client must both pass.

mod faults;
mod http;
mod machines;
mod table;
mod transport;
