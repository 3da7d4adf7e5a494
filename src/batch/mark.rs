/// Change to the stored jobs that the store reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Mark {
    /// A job was accepted.
    Accepted(Box<super::Record>),
    /// The caller of a job asked for its end.
    Cancelled,
}
