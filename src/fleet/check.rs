//! Validation rules of the fleet document that involve more than one field.

use std::collections::{BTreeMap, BTreeSet};

use crate::document::{Faults, NodeId, Tree, closest, unique};

/// Maximum number of valid names listed in the error for a dangling reference.
const MAX_LISTED_NAMES: usize = 10;

/// Records violations of the rules that involve more than one field.
pub(super) fn check(tree: &Tree, faults: &mut Faults) {
    let root = tree.root();
    for kind in [
        "data-centres",
        "workspaces",
        "pools",
        "services",
        "queues",
        "plans",
    ] {
        let names = tree.list(root, kind).iter();
        unique(tree, names.filter_map(|id| tree.field(*id, "name")), faults);
    }
    check_keys(tree, faults);
    check_pools(tree, faults);
    let pools = names(tree, "pools");
    let workspaces = names(tree, "workspaces");
    for kind in ["services", "queues", "plans"] {
        for id in tree.list(root, kind) {
            check_reference(tree, tree.field(*id, "pool"), "pool", &pools, faults);
            let allowed = tree.list(*id, "workspaces");
            for workspace in allowed {
                check_reference(tree, Some(*workspace), "workspace", &workspaces, faults);
            }
            unique(tree, allowed.iter().copied(), faults);
        }
    }
    for id in tree.list(root, "services") {
        check_connections(tree, *id, faults);
    }
    check_plans(tree, faults);
}

fn names<'t>(tree: &'t Tree, kind: &str) -> BTreeSet<&'t str> {
    let name = |id: &NodeId| tree.text(tree.field(*id, "name")?);
    tree.list(tree.root(), kind)
        .iter()
        .filter_map(name)
        .collect()
}

fn check_keys(tree: &Tree, faults: &mut Faults) {
    let workspaces = tree.list(tree.root(), "workspaces");
    for workspace in workspaces {
        let keys = tree.list(*workspace, "keys").iter();
        unique(
            tree,
            keys.filter_map(|key| tree.field(*key, "name")),
            faults,
        );
    }
    let keys = workspaces
        .iter()
        .flat_map(|workspace| tree.list(*workspace, "keys"));
    unique(
        tree,
        keys.filter_map(|key| tree.digest(*key, "digest")),
        faults,
    );
}

fn check_pools(tree: &Tree, faults: &mut Faults) {
    let pools = tree.list(tree.root(), "pools");
    let instances = pools.iter().flat_map(|pool| tree.list(*pool, "instances"));
    unique(tree, instances.copied(), faults);
    for pool in pools {
        check_budget(tree, *pool, faults);
    }
    check_spare(tree, pools, faults);
    check_sizes(tree, pools, faults);
}

fn check_spare(tree: &Tree, pools: &[NodeId], faults: &mut Faults) {
    let mut spares = pools.iter().filter(|pool| is_spare(tree, **pool));
    let first = spares.next();
    for pool in spares {
        if let Some(spare) = tree.field(*pool, "spare") {
            faults.refuse(tree, spare, || "true for one pool only".to_owned());
        }
    }
    if let (None, false, Some(list)) = (first, pools.is_empty(), tree.field(tree.root(), "pools")) {
        let value = || "no pool with \"spare\": true".to_owned();
        let accepted = || "exactly one spare pool".to_owned();
        faults.refuse_as(tree, list, value, accepted);
    }
}

/// Checks that a document that lists instances lists enough of them for the sizes of all pools.
fn check_sizes(tree: &Tree, pools: &[NodeId], faults: &mut Faults) {
    let listed: usize = pools.iter().map(|p| tree.list(*p, "instances").len()).sum();
    let sizes = pools.iter().filter_map(|p| integer(tree, *p, "size"));
    let total_size = sizes.fold(0u64, u64::saturating_add);
    if listed == 0 || total_size <= listed as u64 {
        return;
    }
    if let Some(list) = tree.field(tree.root(), "pools") {
        let value = || format!("sizes that add up to {total_size}");
        let accepted = || format!("sizes of at most the {listed} instances listed in all pools");
        faults.refuse_as(tree, list, value, accepted);
    }
}

fn check_budget(tree: &Tree, pool: NodeId, faults: &mut Faults) {
    let Some(size) = integer(tree, pool, "size") else {
        return;
    };
    if size == 0 && !is_spare(tree, pool) {
        if let Some(id) = tree.field(pool, "size") {
            faults.refuse(tree, id, || "at least 1, or 0 in the spare pool".to_owned());
        }
        return;
    }
    let Some(budget) = tree.field(pool, "budget") else {
        return;
    };
    let Some(id) = tree.field(budget, "unavailable") else {
        return;
    };
    let Some(unavailable) = tree.integer(id) else {
        return;
    };
    if unavailable >= size.max(1) {
        let accepted = || format!("less than the size of the pool, which is {size}");
        faults.refuse(tree, id, accepted);
    }
    if let Some(rack) = integer(tree, budget, "rack").filter(|rack| unavailable < *rack) {
        let accepted = || format!("at least one rack, which is {rack} instances");
        faults.refuse(tree, id, accepted);
    }
}

/// Checks connections against slots: each running call needs a connection, so a target with fewer
/// connections than slots could never use all of its slots.
fn check_connections(tree: &Tree, service: NodeId, faults: &mut Faults) {
    let slots = integer(tree, service, "slots").unwrap_or(super::service::DEFAULT_SLOTS.into());
    let connections =
        integer(tree, service, "connections").unwrap_or(super::service::DEFAULT_CONNECTIONS.into());
    let given = ["connections", "slots"].map(|name| tree.field(service, name));
    if let (true, Some(id)) = (connections < slots, given[0].or(given[1])) {
        let value = || format!("{connections} connections for {slots} slots");
        let accepted = || "at least as many connections as slots".to_owned();
        faults.refuse_as(tree, id, value, accepted);
    }
}

fn check_plans(tree: &Tree, faults: &mut Faults) {
    let root = tree.root();
    let mut budgets = BTreeMap::new();
    for pool in tree.list(root, "pools") {
        let unavailable = || {
            let budget = tree.field(*pool, "budget")?;
            integer(tree, budget, "unavailable")
        };
        if let (Some(name), Some(unavailable)) = (text(tree, *pool, "name"), unavailable()) {
            budgets.entry(name).or_insert(unavailable);
        }
    }
    for plan in tree.list(root, "plans") {
        let Some(id) = tree.field(*plan, "pool") else {
            continue;
        };
        if tree.text(id).and_then(|name| budgets.get(name)) == Some(&0) {
            faults.refuse(tree, id, || "a pool with a budget of at least 1".to_owned());
        }
    }
}

/// Records a problem if the node `id` holds a name that is not in `names`.
fn check_reference(
    tree: &Tree,
    id: Option<NodeId>,
    kind: &str,
    names: &BTreeSet<&str>,
    faults: &mut Faults,
) {
    let Some((id, name)) = id.and_then(|id| Some((id, tree.text(id)?))) else {
        return;
    };
    if names.contains(name) {
        return;
    }
    faults.refuse(tree, id, || {
        let mut listed: Vec<&str> = names.iter().take(MAX_LISTED_NAMES).copied().collect();
        if names.len() > MAX_LISTED_NAMES {
            listed.push("...");
        }
        let listed = listed.join(", ");
        match closest(name, names.iter().copied()) {
            Some(close) => format!("the name of a {kind}, {close:?} being closest: {listed}"),
            None => format!("the name of a {kind}: {listed}"),
        }
    });
}

fn is_spare(tree: &Tree, pool: NodeId) -> bool {
    let spare = tree.field(pool, "spare");
    spare.and_then(|id| tree.boolean(id)) == Some(true)
}

fn integer(tree: &Tree, id: NodeId, name: &str) -> Option<u64> {
    tree.integer(tree.field(id, name)?)
}

fn text<'t>(tree: &'t Tree, id: NodeId, name: &str) -> Option<&'t str> {
    tree.text(tree.field(id, name)?)
}
