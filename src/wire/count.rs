/// A number for a name.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Count {
    /// Team or target.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Service, where the number is per service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// The number.
    #[prost(uint32, tag = "3")]
    pub count: u32,
}
