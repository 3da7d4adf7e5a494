use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// An instance as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Instance {
    /// Unique name.
    pub name: Arc<str>,
    /// Address at which it serves.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: Arc<str>,
    /// Rack in which it runs.
    pub rack: Arc<str>,
    /// Whether it may get new work.
    pub state: State,
    /// Grows with each restart.
    #[serde(default)]
    pub incarnation: u64,
}

/// State of a listed instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum State {
    /// Serves and may get new work.
    Live,
    /// Finishes what it has.
    Leaving,
}
