use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Addresses on which a process listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Listen {
    /// Port for callers of services.
    pub callers: SocketAddr,
    /// Port for operators, metrics and health.
    pub operators: SocketAddr,
    /// Port for other entry instances.
    pub peers: SocketAddr,
    /// Address that other entry instances use to reach `peers`, when it differs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advertised_peers: Option<SocketAddr>,
}

impl Listen {
    /// Returns the address that other entry instances use.
    ///
    /// ```
    /// use coriandernotch::settings;
    ///
    /// let text = include_str!("../../examples/settings.jsonc");
    /// let settings = settings::parse("settings.jsonc", text).unwrap();
    /// assert_eq!(settings.listen.advertised(), "127.0.0.1:7300".parse().unwrap());
    /// ```
    pub fn advertised(&self) -> SocketAddr {
        self.advertised_peers.unwrap_or(self.peers)
    }
}
