use super::Count;

/// What an instance tells its peers several times a second.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Report {
    /// Newest version within whose homes the instance is.
    #[prost(uint64, tag = "1")]
    pub settled: u64,
    /// Newest version below which nothing runs any more.
    #[prost(uint64, tag = "2")]
    pub closed: u64,
    /// Permits in use per team.
    #[prost(message, repeated, tag = "3")]
    pub permits: Vec<Count>,
    /// Running calls per service and team.
    #[prost(message, repeated, tag = "4")]
    pub calls: Vec<Count>,
    /// Running calls per target.
    #[prost(message, repeated, tag = "5")]
    pub targets: Vec<Count>,
    /// Version of the roster by which calls are granted.
    #[prost(uint64, tag = "6")]
    pub assigned: u64,
}
