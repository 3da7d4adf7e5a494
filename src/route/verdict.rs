/// How a call to a target ended, as far as the target's health goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Verdict {
    /// The target answered with a status below 500.
    Answered,
    /// The target answered with 500 or above, or broke off its answer.
    Failed,
    /// No connection could be made, so the call was not run.
    Unreachable,
    /// The target did not answer for longer than its usual service time.
    Hung,
    /// The target said that it is leaving.
    Leaving,
    /// The call says nothing about the target, for example because the caller went away.
    Neutral,
}
