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
    /// Former life that served peers at the same address and has therefore ended.
    #[serde(default)]
    pub replaced: Option<u64>,
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

    /// Returns whether the row proves that a former life has ended.
    ///
    /// ```
    /// use coriandernotch::config::Voter;
    /// use coriandernotch::peer::Member;
    ///
    /// let member: Member = serde_json::from_str(
    ///     r#"{"name": "a", "incarnation": 3, "peers": "127.0.0.1:1", "callers": "127.0.0.1:2",
    ///         "operators": "127.0.0.1:3", "data-centre": "east", "replaced": 2}"#,
    /// )
    /// .unwrap();
    /// assert!(member.has_replaced(&Voter::new("a", 2)));
    /// assert!(!member.has_replaced(&Voter::new("a", 1)));
    /// ```
    pub fn has_replaced(&self, voter: &Voter) -> bool {
        self.name == voter.name && self.replaced == Some(voter.incarnation)
    }

    /// Returns the life of the instance.
    pub fn voter(&self) -> Voter {
        Voter::new(&self.name, self.incarnation)
    }
}
