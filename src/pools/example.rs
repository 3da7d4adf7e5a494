//! Small fleet for documentation examples.

use std::sync::Arc;

use super::{State, Tenure};
use crate::clock::Instant;
use crate::fleet::{self, Registry};
use crate::platform;

impl State {
    /// Builds a fleet for examples: pools of four instances in racks of two, and a spare pool of
    /// `spares` instances.
    ///
    /// ```
    /// assert_eq!(coriandernotch::pools::State::example(2, 4).instances().count(), 12);
    /// ```
    pub fn example(pools: usize, spares: usize) -> Self {
        let instance_names =
            |pool: &str, n| (0..n).map(|i| format!("{pool}-{i}")).collect::<Vec<_>>();
        let pool = |name: &str, n: usize, spare: bool| {
            serde_json::json!({"name": name, "size": n, "spare": spare,
                "budget": {"unavailable": 1}, "instances": instance_names(name, n)})
        };
        let mut list: Vec<_> = (0..pools)
            .map(|p| pool(&format!("p{p}"), 4, false))
            .collect();
        list.push(pool("spare", spares, true));
        let document = serde_json::json!({"name": "f", "workspaces": [], "pools": list,
            "data-centres": [{"name": "a", "region": "r"}, {"name": "b", "region": "r"}]});
        let document: fleet::Document = serde_json::from_value(document).expect("valid example");
        let listed = |name: &Arc<str>, i: usize| platform::Instance {
            name: name.clone(),
            address: ([127, 0, 0, 1], 1).into(),
            data_centre: if i.is_multiple_of(2) { "a" } else { "b" }.into(),
            rack: format!("{}-{}", &name[..2], i % 2).into(),
            incarnation: 0,
            state: platform::State::Live,
        };
        let listing: Vec<_> = document
            .pools
            .iter()
            .flat_map(|p| p.instances.iter().enumerate().map(|(i, n)| listed(n, i)))
            .collect();
        let mut registry = Registry::default();
        Self::build(
            Instant::default(),
            &Tenure::new(1),
            &document,
            &mut registry,
            &listing,
        )
    }
}
