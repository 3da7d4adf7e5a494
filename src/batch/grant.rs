/// Whether a start order may be sent on a connection, and the lease that it grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grant {
    /// It grants a lease until a time on the clock of the worker, in milliseconds.
    Until(u64),
    /// A poll must show first which process the connection leads to.
    Unverified,
    /// It may not be sent.
    Denied,
}
