/// What is known about the execution of a call when its caller gets an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// The call was certainly not run.
    NotRun,
    /// The call may have run.
    Unknown,
    /// The target answered.
    Answered,
}
