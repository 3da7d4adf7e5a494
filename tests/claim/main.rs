//! Idempotency claims: a request runs at most once despite faults of the store.

mod claims;
mod fixture;
mod upkeep;
