use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Digest;

/// An API key of a workspace. The document holds only the digest of its secret.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Key {
    /// Name of the key, unique in the workspace.
    pub name: Arc<str>,
    /// SHA-256 digest of the secret.
    pub digest: Digest,
    /// Whether the key is withdrawn and no longer accepted.
    #[serde(default)]
    pub withdrawn: bool,
}
