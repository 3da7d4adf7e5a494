/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// It still runs.
    Running,
    /// The target finished its work and began to answer, or failed as its mode demands.
    Finished,
    /// The connection was closed while the work was going on.
    Interrupted,
}
