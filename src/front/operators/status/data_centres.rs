use std::collections::BTreeMap;
use std::sync::Arc;

use serde_json::{Value, json};

use crate::call::Dispatcher;
use crate::clock::Instant;
use crate::fleet::{DataCentreId, Snapshot};
use crate::platform::State;
use crate::route::Target;

/// Condition of a target; the worst of all services counts.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Condition {
    Live,
    Ejected,
    Leaving,
}

impl Condition {
    fn of(target: &Target, now: Instant) -> Self {
        match target.state {
            State::Leaving => Self::Leaving,
            State::Live if target.health.is_ejected(now) => Self::Ejected,
            State::Live => Self::Live,
        }
    }
}

/// Lists the data centres with their state and the targets there.
pub(super) fn list(dispatcher: &Arc<Dispatcher>, current: &Snapshot, now: Instant) -> Vec<Value> {
    let mut targets: BTreeMap<Arc<str>, (Option<DataCentreId>, Condition)> = BTreeMap::new();
    for (service, _) in current.services() {
        dispatcher.with_targets(service, |all| {
            for (_, target) in all.iter() {
                let condition = Condition::of(target, now);
                let entry = targets.entry(target.name.clone());
                let (_, worst) = entry.or_insert((target.data_centre, condition));
                *worst = condition.max(*worst);
            }
        });
    }
    let document = current.document();
    let data_centres = document.iter().flat_map(|d| &d.data_centres);
    let rows = data_centres.map(|data_centre| {
        let id = current.data_centre_id(&data_centre.name);
        let count = |condition| {
            let here = targets.values().filter(|(place, _)| *place == id);
            here.filter(|(_, c)| *c == condition).count()
        };
        json!({
            "name": data_centre.name, "region": data_centre.region, "state": data_centre.state,
            "live": count(Condition::Live),
            "ejected": count(Condition::Ejected),
            "leaving": count(Condition::Leaving),
        })
    });
    rows.collect()
}
