use coriandernotch::job_store::Answer;

/// Something that happens at an instance.
#[derive(Debug)]
pub(super) enum Event {
    /// A submission arrives.
    Submit(usize),
    /// A time for which the instance waits is reached.
    Wake,
    /// A call has an answer, or has been awaited for too long.
    Answer(u64, Answer),
}
