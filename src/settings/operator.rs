use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Role;
use crate::fleet::Digest;

/// An operator who may use the operators' port.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Operator {
    /// Name that the history records.
    pub name: Arc<str>,
    /// SHA-256 digest of the operator's key.
    pub digest: Digest,
    /// What the operator may do.
    pub role: Role,
}
