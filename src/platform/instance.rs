use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// An instance in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Instance {
    /// Unique name.
    pub name: Arc<str>,
    /// Address on which it accepts requests.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: Arc<str>,
    /// Rack in which it runs.
    pub rack: Arc<str>,
    /// Whether it accepts new work.
    pub state: State,
    /// Number that increases with each restart.
    #[serde(default)]
    pub incarnation: u64,
}

/// State of a listed instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum State {
    /// Runs and accepts new work.
    Live,
    /// Finishes its current work and accepts no new work.
    Leaving,
}
