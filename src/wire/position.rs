use super::Malformed;
use crate::config::{self, Operation};

/// Place of a head in the sequence of heads.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Position {
    /// Version of the row.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Version of the fleet.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Operation that wrote it, in hexadecimal digits.
    #[prost(string, tag = "3")]
    pub operation: String,
}

impl From<config::Position> for Position {
    fn from(position: config::Position) -> Self {
        Self {
            revision: position.revision,
            version: position.version,
            operation: position.operation.to_string(),
        }
    }
}

impl TryFrom<Position> for config::Position {
    type Error = Malformed;

    fn try_from(position: Position) -> Result<Self, Malformed> {
        Ok(Self {
            revision: position.revision,
            version: position.version,
            operation: read_operation(position.operation)?,
        })
    }
}

/// Reads an operation from hexadecimal digits.
pub(super) fn read_operation(text: String) -> Result<Operation, Malformed> {
    Operation::try_from(text).map_err(|_| Malformed("operation"))
}
