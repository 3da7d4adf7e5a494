use std::time::Duration;

/// Durations and choices used by an [`super::Engine`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tuning {
    /// Longest lease that workers grant.
    pub lease: Duration,
    /// Longest time that a stop takes.
    pub stop: Duration,
    /// Time after which a lasting task that does not work at full speed counts as down.
    pub notice: Duration,
    /// Time for which a machine is down for maintenance.
    pub upkeep: Duration,
    /// Time for which a machine is down while it moves to another pool.
    pub relocation: Duration,
    /// Time for which ended jobs can be queried.
    pub retention: Duration,
    /// Whether run times are learned from ended runs and used in place of the declared ones.
    pub learn_estimates: bool,
    /// Run time of a task away from its data or its gang in percent of that near it. At 100 or less,
    /// no task waits for a near place.
    pub far_percent: u32,
    /// Whether jobs that can only end when they are of no use are refused, and placed after late ones
    /// that can still be of use.
    pub refuse_late_jobs: bool,
    /// Largest size of the list of silent workers that is written with each renewal, in bytes. A
    /// worker without its tasks takes about 180 bytes, so a third of 2,300 workers fit into the
    /// default.
    pub silent_list_bytes: usize,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(6),
            stop: Duration::from_millis(900),
            notice: Duration::from_millis(4_500),
            upkeep: Duration::from_secs(2),
            relocation: Duration::from_millis(1_500),
            retention: Duration::from_secs(120),
            learn_estimates: false,
            far_percent: 100,
            refuse_late_jobs: false,
            silent_list_bytes: 150_000,
        }
    }
}
