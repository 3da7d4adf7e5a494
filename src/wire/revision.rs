use std::sync::Arc;

use super::Malformed;
use crate::config::{self, Head};

/// A head with the version of its row.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Revision {
    /// Version of the row.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Head in JSON.
    #[prost(string, tag = "2")]
    pub head: String,
}

impl From<&config::Revision> for Revision {
    fn from(revision: &config::Revision) -> Self {
        Self {
            number: revision.number,
            head: revision.head.to_json(),
        }
    }
}

impl TryFrom<Revision> for config::Revision {
    type Error = Malformed;

    fn try_from(revision: Revision) -> Result<Self, Malformed> {
        Ok(Self {
            number: revision.number,
            head: read_head(&revision.head)?,
        })
    }
}

/// Reads a head from JSON.
pub(super) fn read_head(text: &str) -> Result<Arc<Head>, Malformed> {
    Head::from_json(text)
        .map(Arc::new)
        .map_err(|_| Malformed("head"))
}
