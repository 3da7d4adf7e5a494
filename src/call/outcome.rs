/// What is known of a call when its caller gets an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// The call provably did not run.
    NotRun,
    /// The call may have run.
    Unknown,
    /// The target answered.
    Answered,
}
