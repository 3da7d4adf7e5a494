use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::config::Voter;

/// An entry instance as its row `members/{name}` states it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Member {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Life of the instance, one more with each start.
    pub incarnation: u64,
    /// Address of its peer port.
    pub peers: SocketAddr,
    /// Address of its callers' port.
    pub callers: SocketAddr,
    /// Address of its operators' port.
    pub operators: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: Arc<str>,
}

impl Member {
    /// Prefix of the rows of all members.
    pub const PREFIX: &str = "members/";

    /// Returns the key of the row of an instance.
    ///
    /// ```
    /// assert_eq!(coriandernotch::peer::Member::key("a"), "members/a");
    /// ```
    pub fn key(name: &str) -> String {
        format!("{}{name}", Self::PREFIX)
    }

    /// Returns the life of the instance.
    pub fn voter(&self) -> Voter {
        Voter::new(&self.name, self.incarnation)
    }
}
