use super::Delay;

/// Answer to the caller of a job that is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Delay after which the caller is to return.
    pub delay: Delay,
    /// Whether the return is a new request, since the objective counted from the first attempt has
    /// passed for good by then.
    pub is_new: bool,
}
