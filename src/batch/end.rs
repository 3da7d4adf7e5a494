/// How a run ended on its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum End {
    /// It did its work.
    Done,
    /// It failed, by its own fault or that of its worker.
    Failed,
    /// It was told to stop.
    Stopped,
    /// The lease of its worker ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// It waited for its gang in vain.
    Alone,
}
