/// A term of leadership of one process, or its time as a candidate. Events of another term are
/// ignored, as the tasks of a term that has ended are aborted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Process {
    /// Index of the instance.
    pub(crate) instance: usize,
    /// Number of the process of this instance.
    pub(crate) life: u32,
    /// Number of the term or candidacy of this process.
    pub(crate) term: u32,
}
