use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Addresses of the platform's services, one or three each.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Platform {
    /// Table service.
    pub table: Vec<SocketAddr>,
    /// Object store.
    pub objects: Vec<SocketAddr>,
    /// List of live and leaving instances.
    pub listing: Vec<SocketAddr>,
}
