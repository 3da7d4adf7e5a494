/// How a run ended on its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum End {
    /// It completed its work.
    Done,
    /// It failed, because of the task or of the worker.
    Failed,
    /// It was told to stop.
    Stopped,
    /// The lease of its worker expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// It gave up waiting for the other members of its gang.
    Alone,
}
