/// Reason why the entry of a worker names no worker.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Defect {
    /// The key has a character that no request can carry.
    #[error("unusable key")]
    Key,
    /// The content is not an object.
    #[error("not an object")]
    NotObject,
    /// A required field is missing, or a field has another type.
    #[error("unreadable at line {line} column {column}")]
    Unreadable {
        /// Line of the content, counted from 1.
        line: usize,
        /// Column in the line.
        column: usize,
    },
    /// The state is neither ready nor draining.
    #[error("unknown state")]
    State,
    /// The address is not the numeric IP address of one host with a port from 1 to 65535.
    #[error("no address and port")]
    Address,
    /// A text is too long.
    #[error("too long: {field}")]
    TooLong {
        /// Name of the field.
        field: &'static str,
    },
    /// A number is too large.
    #[error("too large: {field}")]
    TooLarge {
        /// Name of the field.
        field: &'static str,
    },
}
