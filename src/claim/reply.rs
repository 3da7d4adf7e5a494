use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::body::Body;
use super::{MAX_BODY, MAX_HEADERS};

/// Answer of a target as it is stored and given again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Names and values in order; bytes beyond ASCII stand for themselves as Latin-1.
    pub headers: Vec<(String, String)>,
    /// Whole body.
    #[serde(with = "form")]
    pub body: Bytes,
}

impl Reply {
    /// Returns whether the answer is small enough to be stored.
    ///
    /// ```
    /// use coriandernotch::claim::{MAX_BODY, Reply};
    ///
    /// let reply = |size| Reply { status: 200, headers: vec![], body: vec![0; size].into() };
    /// assert!(reply(MAX_BODY).is_small() && !reply(MAX_BODY + 1).is_small());
    /// ```
    pub fn is_small(&self) -> bool {
        let headers = self.headers.iter().map(|(n, v)| n.len() + v.len());
        self.body.len() <= MAX_BODY && headers.sum::<usize>() <= MAX_HEADERS
    }
}

mod form {
    use serde::de::Error;
    use serde::{Deserializer, Serializer};

    use super::{Body, Bytes, Deserialize, Serialize};

    pub(super) fn serialize<S: Serializer>(body: &Bytes, to: S) -> Result<S::Ok, S::Error> {
        Body::from(body.clone()).serialize(to)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Bytes, D::Error> {
        Bytes::try_from(Body::deserialize(from)?).map_err(Error::custom)
    }
}
