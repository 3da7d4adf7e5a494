use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Strength;

/// Request of an instance that the leadership be transferred to it, in the row of the leader.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Transfer {
    /// Name of the instance.
    pub to: Arc<str>,
    /// Its strength when it wrote the request.
    pub strength: Strength,
}
