/// Last observation of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// Listed as live, reachable, and in a data centre that is in use.
    pub live: bool,
    /// Calls and jobs that run on it, summed over all entry instances.
    pub running: u32,
    /// Number that grows with each restart.
    pub incarnation: u64,
}
