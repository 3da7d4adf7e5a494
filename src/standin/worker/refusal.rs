/// Why a worker did not follow an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The token is older than this one, which the worker has seen.
    Older(u64),
    /// The job is not on the worker.
    Missing,
    /// The free resources do not suffice.
    Full,
    /// A value is out of range.
    Malformed,
}
