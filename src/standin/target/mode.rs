/// Behaviour of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Mode {
    /// Runs requests and answers them.
    #[default]
    Normal,
    /// Answers 500 at once.
    Fail,
    /// Runs requests and never answers.
    Hang,
    /// Runs requests and closes the connection in the middle of the answer.
    Truncate,
    /// Runs requests and closes the connection without an answer.
    Close,
    /// Runs requests and sends the answer in small pieces with pauses.
    Slow,
    /// Refuses new requests with 503 and `Connection: close`; running ones finish.
    Leaving,
}
