//! HTTP/JSON client of the platform services.
//!
//! | call | request | response |
//! |---|---|---|
//! | read | `GET /table/rows/{key}` | 200 row, 404 |
//! | scan | `GET /table/scan?prefix=P&after=A&limit=N` | 200 list of rows |
//! | transact | `POST /table/transact` with a list of writes | 200 versions, 409 key |
//! | put object | `PUT /objects/{name}` | 204 |
//! | get object | `GET /objects/{name}` | 200 content, 404 |
//! | list | `GET /instances` | 200 list of instances |
//! | order | `POST /instances/orders` with one command | 204, 409 name of the instance |
//!
//! Keys, names and query values are percent-encoded; `/` is not encoded in a path.
//!
//! A failed read has no effect, and neither does a write that gets status 503. After any other
//! failure of a write of which at least one byte was sent, it is unknown whether it took effect.

mod client;
mod connection;
mod failure;
mod listing;
mod machines;
mod objects;
mod percent;
mod pool;
mod stream;
mod table;

pub use client::Client;
pub(super) use connection::Connection;
pub(super) use percent::encode_query;
pub(super) use pool::Pool;
