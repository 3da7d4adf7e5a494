/// What an instance tells its peers several times a second.
///
/// Workspaces and services go by their place in the order of names of one version, and targets by tag,
/// so that a report of a busy instance stays at a few hundred bytes.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Report {
    /// Newest version within whose homes the instance is.
    #[prost(uint64, tag = "1")]
    pub settled: u64,
    /// Newest version below which nothing runs any more.
    #[prost(uint64, tag = "2")]
    pub closed: u64,
    /// Version in whose order of names workspaces and services are numbered.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// Permits in use: workspace, count, workspace, count, ...
    #[prost(uint32, repeated, tag = "4")]
    pub permits: Vec<u32>,
    /// Running calls: service, workspace, count, service, workspace, count, ...
    #[prost(uint32, repeated, tag = "5")]
    pub calls: Vec<u32>,
    /// Tags of targets with running calls.
    #[prost(fixed32, repeated, tag = "6")]
    pub targets: Vec<u32>,
    /// Running calls per tag, in the same order.
    #[prost(uint32, repeated, tag = "7")]
    pub target_counts: Vec<u32>,
    /// Version of the roster by which calls are granted.
    #[prost(uint64, tag = "8")]
    pub assigned: u64,
}
