use super::Delay;

/// Answer to the caller of a job that is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The job could only end when it is of no use.
    Late {
        /// Delay after which the caller is to return.
        delay: Delay,
        /// Whether the return is a new request, since the objective counted from the first attempt
        /// has passed for good by then.
        is_new: bool,
    },
    /// The leader has no memory for the job.
    Full(Delay),
    /// The leader has no memory for the job, which an earlier attempt may have stored.
    Uncertain,
}
