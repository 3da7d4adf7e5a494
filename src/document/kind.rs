use super::tree::Tree;

/// What a file holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    /// Settings of one process.
    Settings,
    /// Document of the intended fleet.
    Fleet,
}

/// Fields that settings have and fleet documents do not.
const SETTINGS: &[&str] = &[
    "data-centre",
    "listen",
    "platform",
    "log",
    "bounds",
    "operators",
];

/// Fields that fleet documents have and settings do not.
const FLEET: &[&str] = &[
    "data-centres",
    "workspaces",
    "pools",
    "services",
    "queues",
    "plans",
];

impl Kind {
    pub(super) fn of(tree: &Tree) -> Option<Self> {
        let count = |names: &[&str]| {
            let given = |name: &&&str| tree.field(tree.root(), name).is_some();
            names.iter().filter(given).count()
        };
        match (count(SETTINGS), count(FLEET)) {
            (settings, fleet) if settings > fleet => Some(Self::Settings),
            (settings, fleet) if settings < fleet => Some(Self::Fleet),
            _ => None,
        }
    }
}
