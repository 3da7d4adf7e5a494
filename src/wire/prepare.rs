use super::revision::read_head;
use super::{Malformed, Revision};
use crate::config::{self, Version};

/// Proposal of a version.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Prepare {
    /// Head that the proposal follows.
    #[prost(message, optional, tag = "1")]
    pub base: Option<Revision>,
    /// Proposed head in JSON.
    #[prost(string, tag = "2")]
    pub head: String,
    /// Fleet document.
    #[prost(string, tag = "3")]
    pub content: String,
}

impl From<&config::Prepare> for Prepare {
    fn from(prepare: &config::Prepare) -> Self {
        Self {
            base: Some((&prepare.base).into()),
            head: prepare.version.head.to_json(),
            content: prepare.version.content.to_string(),
        }
    }
}

impl TryFrom<Prepare> for config::Prepare {
    type Error = Malformed;

    fn try_from(prepare: Prepare) -> Result<Self, Malformed> {
        Ok(Self {
            base: prepare.base.ok_or(Malformed("base"))?.try_into()?,
            version: Version {
                head: read_head(&prepare.head)?,
                content: prepare.content.into(),
            },
        })
    }
}
