use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;

use super::limits::Limits;
use crate::intake;
use crate::settings::Level;

/// One part in so many of the memory can be taken by jobs in progress.
const JOB_PARTS: usize = 8;

/// Settings of an entry instance.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance, unique in the fleet.
    pub name: Arc<str>,
    /// Data centre of the instance.
    pub data_centre: Arc<str>,
    /// Address at which callers are served.
    pub callers: SocketAddr,
    /// Address at which the balancer asks whether the instance takes new connections.
    pub readiness: SocketAddr,
    /// Address at which metrics are served; without it there are none.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Address of the store of the platform.
    pub store: SocketAddr,
    /// Address of the platform's machine service; without it machines are neither maintained nor
    /// moved.
    #[serde(default)]
    pub machines: Option<SocketAddr>,
    /// Address of the advice service, which decides which workers may run a step.
    #[serde(default)]
    pub advice: Option<SocketAddr>,
    /// Processor time of the instance as a share of one processor.
    #[serde(default = "whole_processor")]
    pub processor_share: f64,
    /// Whether jobs are spread over all partitions. Instances of versions before 2026-12-07 find only
    /// jobs that are not, so this is false until the last of them has ended.
    #[serde(default = "spread_jobs")]
    pub spread_jobs: bool,
    /// Whether run times are learned from ended runs and used in place of the declared ones.
    #[serde(default)]
    pub learn_estimates: bool,
    /// Memory of the machine in MiB, of which callers may occupy a part.
    #[serde(default)]
    pub memory_mb: Option<u32>,
    /// File descriptors that the process may have open.
    #[serde(default)]
    pub max_descriptors: Option<u32>,
    /// Single limits on callers, in place of those that follow from memory and descriptors.
    #[serde(default)]
    pub limits: Limits,
    /// Whether jobs are refused that could only end when they are of no use to their caller.
    #[serde(default)]
    pub refuse_late_jobs: bool,
    /// Durations that the platform guarantees or requires.
    #[serde(default)]
    pub bounds: Bounds,
    /// Least severe level that is logged.
    #[serde(default)]
    pub log: Level,
}

/// Durations and factors that the platform guarantees or requires.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct Bounds {
    /// Maximum lease of a worker, in milliseconds.
    pub lease_ms: u64,
    /// Maximum time that a worker takes to stop a run, in milliseconds.
    pub stop_ms: u64,
    /// Time after which a long-running task that does not work at full speed counts as down, in
    /// milliseconds.
    pub notice_ms: u64,
    /// Time for which a machine is down for maintenance, in seconds.
    pub upkeep_s: f64,
    /// Time for which a machine is down while it moves to another pool, in seconds.
    pub move_s: f64,
    /// Time for which the state of an ended job can be queried, in seconds.
    pub status_s: u64,
    /// Time within which a change of the configuration must be in force, in milliseconds.
    pub config_ms: u64,
    /// Time between SIGTERM and SIGKILL, in seconds.
    pub grace_s: f64,
    /// Factor by which a task takes longer away from its data or its gang. At 1 or less, no task
    /// waits for a near place.
    pub far_factor: f64,
}

fn spread_jobs() -> bool {
    true
}

fn whole_processor() -> f64 {
    1.0
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            lease_ms: 6_000,
            stop_ms: 900,
            notice_ms: 4_500,
            upkeep_s: 2.0,
            move_s: 1.5,
            status_s: 120,
            config_ms: 2_000,
            grace_s: 6.0,
            far_factor: 1.0,
        }
    }
}

impl Settings {
    /// Returns the limits of what connections may occupy.
    ///
    /// ```
    /// use coriandernotch::entry::Settings;
    ///
    /// let text = r#"{"name": "e", "data-centre": "a", "callers": "127.0.0.1:1",
    ///     "readiness": "127.0.0.1:2", "store": "127.0.0.1:3", "memory-mb": 160,
    ///     "limits": {"connections": 7}}"#;
    /// let limits = Settings::parse(text).unwrap().intake();
    /// assert_eq!((limits.bytes, limits.connections), (80 << 20, 7));
    /// ```
    pub fn intake(&self) -> intake::Limits {
        let derived = intake::Limits::new(self.memory_mb, self.max_descriptors);
        self.limits.apply(derived)
    }

    /// Returns the memory in bytes that the jobs in progress may take at the leader.
    pub fn job_bytes(&self) -> usize {
        let memory = (self.memory_mb.unwrap_or(intake::DEFAULT_MEMORY_MB) as usize) << 20;
        let jobs_mb = self.limits.jobs_mb;
        jobs_mb.map_or(memory / JOB_PARTS, |mb| (mb as usize) << 20)
    }

    /// Parses settings in JSON with comments.
    ///
    /// # Errors
    ///
    /// Names the invalid field and, if the parser reports it, its position.
    ///
    /// ```
    /// use coriandernotch::entry::Settings;
    ///
    /// let text = r#"{"name": "e", "data-centre": "a", "callers": "127.0.0.1:1",
    ///     "readiness": "127.0.0.1:2", "store": "127.0.0.1:3" /* comment */}"#;
    /// assert_eq!(&*Settings::parse(text).unwrap().name, "e");
    /// assert!(Settings::parse("{}").unwrap_err().contains("name"));
    /// ```
    pub fn parse(text: &str) -> Result<Self, String> {
        let options = jsonc_parser::ParseOptions::default();
        jsonc_parser::parse_to_serde_value::<Self>(text, &options)
            .map_err(|error| error.to_string())
    }
}
