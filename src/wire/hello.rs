/// Introduction of an instance.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Hello {
    /// [`super::PROTOCOL`] of the sender.
    #[prost(uint32, tag = "1")]
    pub protocol: u32,
    /// Name of the instance.
    #[prost(string, tag = "2")]
    pub name: String,
    /// Life of the instance.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Data centre of the instance.
    #[prost(string, tag = "4")]
    pub data_centre: String,
}
