/// What distinguishes the tasks of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    Plain,
    /// They run until the job is cancelled, which never happens here.
    Lasting,
    /// They are due at scheduled times, some are slow, and slow ones are copied.
    Copied,
    /// They are due at scheduled times and run together.
    Gang,
}

impl Kind {
    /// Returns whether the job has scheduled occurrences.
    pub(crate) fn is_scheduled(self) -> bool {
        matches!(self, Self::Copied | Self::Gang)
    }
}
