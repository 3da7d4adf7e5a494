use std::fmt;

use super::shape::Shape;

/// Longest name.
const NAME: usize = 63;

/// Values that a field accepts.
#[derive(Clone, Copy, Debug)]
pub enum Type {
    /// Name of 1 to 63 characters of `[a-z0-9-]`, so that it fits paths, labels and row keys.
    Name,
    /// Integer within bounds, both included.
    Integer(u64, u64),
    /// `true` or `false`.
    Boolean,
    /// One of several words.
    Choice(&'static [&'static str]),
    /// SHA-256 digest in lower-case hexadecimal digits.
    Digest,
    /// Numeric IP address and port; port 0 lets the system choose.
    Listen,
    /// Numeric IP address and port to which others connect.
    Address,
    /// Object of a shape.
    Object(&'static Shape),
    /// List of values, with the fewest and the most of them.
    List(&'static Type, usize, usize),
}

impl Type {
    /// Tells whether a text is a name.
    pub(super) fn is_name(text: &str) -> bool {
        let ok = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
        (1..=NAME).contains(&text.len()) && text.bytes().all(ok)
    }

    /// Tells whether a text is a SHA-256 digest.
    pub(super) fn is_digest(text: &str) -> bool {
        let ok = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        text.len() == 64 && text.bytes().all(ok)
    }
}

impl fmt::Display for Type {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Name => write!(f, "a name of 1 to {NAME} characters of [a-z0-9-]"),
            Self::Integer(min, max) => write!(f, "an integer from {min} to {max}"),
            Self::Boolean => f.write_str("true or false"),
            Self::Choice(words) => write!(f, "one of {}", words.join(", ")),
            Self::Digest => f.write_str("a SHA-256 digest of 64 lower-case hex digits"),
            Self::Listen => f.write_str("a numeric IP address with port, such as 127.0.0.1:8080"),
            Self::Address => {
                f.write_str("a numeric IP address, not 0.0.0.0, with a port from 1 to 65535")
            }
            Self::Object(shape) => write!(f, "an object ({})", shape.name),
            Self::List(of, min, max) => {
                write!(f, "a list of {min} to {max} entries, each {of}")
            }
        }
    }
}
