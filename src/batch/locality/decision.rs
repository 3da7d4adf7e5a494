use crate::clock::Instant;

/// What a task does that finds no room near its data or its gang.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It starts elsewhere if there is room.
    Far,
    /// It waits for room near, at the latest until the given time.
    WaitUntil(Instant),
}
