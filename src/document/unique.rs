use std::collections::BTreeMap;

use super::faults::Faults;
use super::node_id::NodeId;
use super::tree::Tree;

/// Records every text that an earlier value has already.
///
/// The names come from the file, so the map is an ordered one, which crafted names cannot slow.
pub(crate) fn unique(tree: &Tree, values: impl IntoIterator<Item = NodeId>, faults: &mut Faults) {
    let mut first: BTreeMap<&str, NodeId> = BTreeMap::new();
    for id in values {
        let Some(text) = tree.text(id) else { continue };
        if let Some(other) = first.get(text) {
            let accepted = || format!("a value that {} does not have", tree.path(*other));
            faults.refuse(tree, id, accepted);
        } else {
            first.insert(text, id);
        }
    }
}
