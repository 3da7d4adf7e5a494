//! Documents that the tests change.

pub(super) const SETTINGS: &str = include_str!("../../examples/settings.jsonc");
pub(super) const HUALLAGA: &str = include_str!("../../examples/huallaga.jsonc");
pub(super) const RENNES: &str = include_str!("../../examples/rennes.jsonc");

/// Smallest fleet with one of each kind of thing; the tests change one place each.
pub(super) const FLEET: &str = r#"{
  "name": "small",
  "data-centres": [{"name": "east", "region": "r"}],
  "workspaces": [
    {"name": "red", "share": 1, "limit": 5, "keys": [{"name": "k", "digest": "D1"}]},
    {"name": "blue", "share": 2, "limit": 6}
  ],
  "pools": [
    {"name": "web", "size": 3, "budget": {"unavailable": 1}, "instances": ["a", "b", "c"]},
    {"name": "rest", "size": 1, "spare": true, "budget": {"unavailable": 0}, "instances": ["d"]}
  ],
  "services": [{"name": "shop", "pool": "web", "workspaces": ["red"], "slots": 4}],
  "queues": [{"name": "mail", "pool": "web", "workspaces": ["blue"]}],
  "plans": [{"name": "tidy", "pool": "web", "period-days": 21}]
}"#;

pub(super) const D1: &str = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";

pub(super) fn small() -> String {
    FLEET.replace("D1", D1)
}
