use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::document::{Faults, NodeId, Tree, unique};

/// Records the problems that concern more than one field.
pub(super) fn check(tree: &Tree, faults: &mut Faults) {
    check_listen(tree, faults);
    if let Some(platform) = tree.field(tree.root(), "platform") {
        for service in ["table", "objects", "listing"] {
            check_count(tree, platform, service, faults);
        }
    }
    let operators = tree.list(tree.root(), "operators");
    unique(
        tree,
        operators.iter().filter_map(|o| tree.field(*o, "name")),
        faults,
    );
    unique(
        tree,
        operators.iter().filter_map(|o| tree.digest(*o, "digest")),
        faults,
    );
}

fn check_listen(tree: &Tree, faults: &mut Faults) {
    let Some(listen) = tree.field(tree.root(), "listen") else {
        return;
    };
    let mut seen: BTreeMap<SocketAddr, &str> = BTreeMap::new();
    for name in ["callers", "operators", "peers"] {
        let Some((id, address)) = address(tree, listen, name) else {
            continue;
        };
        if address.port() == 0 {
            continue;
        }
        if let Some(other) = seen.insert(address, name) {
            let accepted = || format!("an address other than that of listen.{other}");
            faults.refuse(tree, id, accepted);
        }
    }
    let advertised = tree.field(listen, "advertised-peers");
    if let (Some((id, address)), None) = (address(tree, listen, "peers"), advertised)
        && address.ip().is_unspecified()
    {
        let accepted = || "0.0.0.0 or [::] only together with listen.advertised-peers".to_owned();
        faults.refuse(tree, id, accepted);
    }
}

/// A service of the platform has one address or three; two cannot form a majority.
fn check_count(tree: &Tree, platform: NodeId, service: &str, faults: &mut Faults) {
    let addresses = tree.list(platform, service);
    if let (Some(list), 2) = (tree.field(platform, service), addresses.len()) {
        faults.refuse(tree, list, || "one address or three".to_owned());
    }
    unique(tree, addresses.iter().copied(), faults);
}

fn address(tree: &Tree, listen: NodeId, name: &str) -> Option<(NodeId, SocketAddr)> {
    let id = tree.field(listen, name)?;
    Some((id, tree.text(id)?.parse().ok()?))
}
