/// Outcome of a call as far as it concerns the health of its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Verdict {
    /// The target answered with a status below 500.
    Answered,
    /// The target answered with a status of 500 or above, or broke off its answer.
    Failed,
    /// No connection to the target could be made, so the call was not run.
    Unreachable,
    /// The target did not answer for longer than its usual service time.
    Hung,
    /// The target announced that it is leaving.
    Leaving,
    /// The call says nothing about the target, for example because the caller went away.
    Neutral,
}
