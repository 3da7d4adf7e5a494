use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::{Direction, Document, Effect};

/// Lists the consequences for calls and jobs when one document replaces another.
///
/// ```
/// use coriandernotch::fleet::{self, Effect};
///
/// let text = include_str!("../../examples/rennes.jsonc");
/// let before = fleet::parse("rennes.jsonc", text).unwrap();
/// let mut after = before.clone();
/// after.data_centres[0].state = fleet::Direction::Out;
/// let name = after.data_centres[0].name.clone();
/// assert_eq!(fleet::effects(&before, &after), [Effect::DataCentreOut { name }]);
/// ```
pub fn effects(before: &Document, after: &Document) -> Vec<Effect> {
    let mut effects = Vec::new();
    data_centres(before, after, &mut effects);
    keys(before, after, &mut effects);
    workspaces(before, after, &mut effects);
    services(before, after, &mut effects);
    pools(before, after, &mut effects);
    effects
}

fn data_centres(before: &Document, after: &Document, effects: &mut Vec<Effect>) {
    let usable = |d: &Document| -> BTreeSet<Arc<str>> {
        let in_service = d.data_centres.iter().filter(|c| c.state == Direction::In);
        in_service.map(|c| c.name.clone()).collect()
    };
    let (old, new) = (usable(before), usable(after));
    let removed = old.difference(&new).cloned();
    effects.extend(removed.map(|name| Effect::DataCentreOut { name }));
    let added = new.difference(&old).cloned();
    effects.extend(added.map(|name| Effect::DataCentreIn { name }));
}

fn keys(before: &Document, after: &Document, effects: &mut Vec<Effect>) {
    // The digest is part of the key's identity: a new secret under an unchanged name counts as
    // a new key.
    let valid = |d: &Document| -> BTreeSet<_> {
        let keys = d.workspaces.iter().flat_map(|w| {
            let valid = w.keys.iter().filter(|k| !k.withdrawn);
            valid.map(|k| (w.name.clone(), k.name.clone(), k.digest))
        });
        keys.collect()
    };
    let (old, new) = (valid(before), valid(after));
    let removed = old.difference(&new).cloned();
    effects.extend(removed.map(|(workspace, key, _)| Effect::KeyStops { workspace, key }));
    let added = new.difference(&old).cloned();
    effects.extend(added.map(|(workspace, key, _)| Effect::KeyWorks { workspace, key }));
}

fn workspaces(before: &Document, after: &Document, effects: &mut Vec<Effect>) {
    let limits = |d: &Document| {
        d.workspaces
            .iter()
            .map(|w| (w.name.clone(), w.limit))
            .collect()
    };
    for (workspace, before, after) in changed(&limits(before), &limits(after)) {
        effects.push(Effect::Limit {
            workspace,
            before,
            after,
        });
    }
    let shares = |d: &Document| {
        let total_share: u64 = d.workspaces.iter().map(|w| u64::from(w.share)).sum();
        let percent = |share: u32| u64::from(share) * 100 / total_share.max(1);
        let percentages = d
            .workspaces
            .iter()
            .map(|w| (w.name.clone(), percent(w.share)));
        percentages
            .map(|(name, percent)| (name, u32::try_from(percent).unwrap_or(100)))
            .collect()
    };
    for (workspace, before, after) in changed(&shares(before), &shares(after)) {
        effects.push(Effect::Share {
            workspace,
            before,
            after,
        });
    }
}

fn services(before: &Document, after: &Document, effects: &mut Vec<Effect>) {
    for old in &before.services {
        let name = old.name.clone();
        match after.services.iter().find(|s| s.name == old.name) {
            None => effects.push(Effect::ServiceGone { name }),
            Some(new) if new.pool != old.pool => effects.push(Effect::ServiceMoves {
                name,
                pool: new.pool.clone(),
            }),
            Some(_) => {}
        }
    }
}

fn pools(before: &Document, after: &Document, effects: &mut Vec<Effect>) {
    let sizes = |d: &Document| d.pools.iter().map(|p| (p.name.clone(), p.size)).collect();
    for (name, before, after) in changed(&sizes(before), &sizes(after)) {
        effects.push(Effect::Pool {
            name,
            before,
            after,
        });
    }
}

/// Lists the names whose value changed, with the values before and after; a missing name counts
/// as 0.
fn changed(
    before: &BTreeMap<Arc<str>, u32>,
    after: &BTreeMap<Arc<str>, u32>,
) -> Vec<(Arc<str>, u32, u32)> {
    let names: BTreeSet<&Arc<str>> = before.keys().chain(after.keys()).collect();
    let value = |map: &BTreeMap<Arc<str>, u32>, name| map.get(name).copied().unwrap_or(0);
    let rows = names
        .into_iter()
        .map(|name| (name.clone(), value(before, name), value(after, name)));
    rows.filter(|(_, before, after)| before != after).collect()
}
