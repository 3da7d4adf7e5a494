use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// SHA-256 digest, serialised as 64 lower-case hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest([u8; 32]);

impl Digest {
    /// Computes the digest of `content`.
    ///
    /// ```
    /// use coriandernotch::fleet::Digest;
    ///
    /// assert!(Digest::of(b"").to_string().starts_with("e3b0c442"));
    /// ```
    pub fn of(content: &[u8]) -> Self {
        Self(Sha256::digest(content).into())
    }

    /// Compares two digests in constant time, independent of where they differ.
    ///
    /// ```
    /// use coriandernotch::fleet::Digest;
    ///
    /// assert!(Digest::of(b"a").matches(&Digest::of(b"a")));
    /// assert!(!Digest::of(b"a").matches(&Digest::of(b"b")));
    /// ```
    pub fn matches(&self, other: &Self) -> bool {
        self.0
            .iter()
            .zip(&other.0)
            .fold(0u8, |difference, (a, b)| difference | (a ^ b))
            == 0
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({self})")
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> Self {
        digest.to_string()
    }
}

impl TryFrom<String> for Digest {
    type Error = String;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        let error = || format!("{text:?} is not a SHA-256 digest of 64 lower-case hex digits");
        let bytes = text.as_bytes();
        if bytes.len() != 64 || !bytes.iter().all(|b| b"0123456789abcdef".contains(b)) {
            return Err(error());
        }
        let mut digest = [0; 32];
        for (byte, pair) in digest.iter_mut().zip(bytes.chunks(2)) {
            let pair = std::str::from_utf8(pair).map_err(|_| error())?;
            *byte = u8::from_str_radix(pair, 16).map_err(|_| error())?;
        }
        Ok(Self(digest))
    }
}
