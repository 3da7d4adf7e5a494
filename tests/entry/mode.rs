/// How the stand-in of the store treats calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Mode {
    /// As it should be.
    #[default]
    Sound,
    /// Refuses with 503; nothing is done.
    Busy,
    /// Refuses with 429; nothing is done.
    Many,
    /// Does writes and closes the connection without an answer.
    Lost,
    /// Neither does nor answers anything.
    Silent,
    /// Does writes some time after the connection is closed.
    Late,
}
