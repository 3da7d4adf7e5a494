use serde::Serialize;

/// Figures behind a refusal, as far as the call was known.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Figures {
    /// Upper limit of the workspace in the whole fleet.
    pub limit: Option<u32>,
    /// Part of the limit that belongs to this instance.
    pub home: Option<u32>,
    /// Permits that this instance has lent out.
    pub lent: Option<u32>,
    /// Calls of the workspace that run through this instance.
    pub running: Option<u32>,
    /// Calls of the workspace that peers reported to run.
    pub running_elsewhere: Option<u32>,
    /// Calls of the workspace that wait here for the service.
    pub waiting: Option<usize>,
    /// Most calls of the workspace that may wait here for the service.
    pub queue_limit: Option<u32>,
    /// Slots of the targets that may get calls of the service.
    pub slots: Option<u32>,
    /// Whether this instance knew that its configuration was current.
    pub fresh: bool,
}
