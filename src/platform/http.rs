//! HTTP/JSON client of the platform services.
//!
//! | call | request | answer |
//! |---|---|---|
//! | read | `GET /table/rows/{key}` | 200 row, 404 |
//! | scan | `GET /table/scan?prefix=P&after=A&limit=N` | 200 list of rows |
//! | transact | `POST /table/transact` with a list of writes | 200 versions, 409 key |
//! | put object | `PUT /objects/{name}` | 204 |
//! | get object | `GET /objects/{name}` | 200 content, 404 |
//! | list | `GET /instances` | 200 list of instances |
//! | order | `POST /instances/orders` with one order | 204, 409 name of the instance |
//!
//! Keys, names and query values are percent-encoded; `/` stays as it is in a path.
//!
//! Any failure of a read, and 503 to a write, means that there was no effect. Any other failure of
//! a write after its first byte was sent leaves its result unknown.

mod client;
mod connection;
mod escape;
mod pool;

pub use client::Client;
pub(super) use connection::Connection;
pub(super) use escape::query;
pub(super) use pool::Pool;
