use std::fmt;
use std::fs::File;
use std::io::{self, Read as _};

use super::Digest;

/// Number of random bytes in a secret, equal to the length of its digest.
const SECRET_BYTES: usize = 32;

/// Secret of a new workspace key. It is shown once and never stored.
pub struct Secret(String);

impl Secret {
    /// Generates a secret from the random source of the operating system.
    ///
    /// # Errors
    ///
    /// Returns an error if the random source cannot be read.
    ///
    /// ```
    /// use coriandernotch::fleet::Secret;
    ///
    /// let (a, b) = (Secret::generate().unwrap(), Secret::generate().unwrap());
    /// assert_ne!(a.reveal(), b.reveal());
    /// assert_eq!(format!("{a:?}"), "Secret(..)");
    /// ```
    pub fn generate() -> io::Result<Self> {
        let mut bytes = [0; SECRET_BYTES];
        File::open("/dev/urandom")?.read_exact(&mut bytes)?;
        Ok(Self(bytes.iter().map(|b| format!("{b:02x}")).collect()))
    }

    /// Returns the text of the secret, to show it once to the operator who creates the key.
    pub fn reveal(&self) -> &str {
        &self.0
    }

    /// Returns the digest to store in the document.
    ///
    /// ```
    /// use coriandernotch::fleet::{Digest, Secret};
    ///
    /// let secret = Secret::generate().unwrap();
    /// assert_eq!(secret.digest(), Digest::of(secret.reveal().as_bytes()));
    /// ```
    pub fn digest(&self) -> Digest {
        Digest::of(self.0.as_bytes())
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
