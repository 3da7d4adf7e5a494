use crate::intake::{Charge, Exchange, Slot};

/// What an exchange occupies at the registry, given back when this is dropped.
#[derive(Debug)]
pub(super) struct Place {
    /// Charge for the head of the request.
    pub(super) _head: Charge,
    /// Room for a call that is passed on.
    pub(super) _slot: Option<Slot>,
    /// Exchange of the connection, which ends last.
    pub(super) _exchange: Exchange,
}
