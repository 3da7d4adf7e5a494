use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Serialize;

use crate::config::Voter;
use crate::node::Shared;

/// An entry instance as this one knows it.
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct Instance {
    pub(super) name: Arc<str>,
    /// Version in force there; nothing when it is not connected or has not said.
    pub(super) version: Option<u64>,
    connected: bool,
    voter: bool,
}

/// Lists this instance, the connected ones and those whose acknowledgement counts.
pub(super) fn list(shared: &Shared, voters: &[Voter]) -> Vec<Instance> {
    let own = &shared.member.name;
    let links = shared.hub.links();
    let connected = links.iter().map(|l| l.voter().name.clone());
    let mut names: BTreeMap<Arc<str>, bool> = connected.map(|name| (name, true)).collect();
    names.insert(own.clone(), true);
    for voter in voters {
        names.entry(voter.name.clone()).or_insert(false);
    }
    let current = shared.control.current().map(|c| c.version());
    let row = |(name, connected): (Arc<str>, bool)| Instance {
        version: match name == *own {
            true => current,
            // An instance without a version says 0, like one that does not know the field.
            false => shared.hub.version(&name).filter(|version| *version > 0),
        },
        connected,
        voter: voters.iter().any(|v| v.name == name),
        name,
    };
    names.into_iter().map(row).collect()
}
