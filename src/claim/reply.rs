use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::body::Body;
use super::{MAX_BODY, MAX_HEADER_BYTES};

/// Answer of a target, stored to be returned to repeated requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Header names and values in order, decoded as Latin-1 so that no byte is lost.
    pub headers: Vec<(String, String)>,
    /// Complete body.
    #[serde(with = "encoding")]
    pub body: Bytes,
}

impl Reply {
    /// Returns whether the answer is small enough to be stored.
    ///
    /// ```
    /// use coriandernotch::claim::{MAX_BODY, Reply};
    ///
    /// let reply = |size| Reply { status: 200, headers: vec![], body: vec![0; size].into() };
    /// assert!(reply(MAX_BODY).is_storable() && !reply(MAX_BODY + 1).is_storable());
    /// ```
    pub fn is_storable(&self) -> bool {
        let header_bytes = self.headers.iter().map(|(n, v)| n.len() + v.len());
        self.body.len() <= MAX_BODY && header_bytes.sum::<usize>() <= MAX_HEADER_BYTES
    }
}

mod encoding {
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
