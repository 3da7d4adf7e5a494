use std::fmt;
use std::sync::Arc;

use serde::Serialize;

/// A consequence that a change of the document has for calls and jobs, derived from the two
/// documents alone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(
    tag = "kind",
    rename_all = "kebab-case",
    rename_all_fields = "kebab-case"
)]
pub enum Effect {
    /// No new work starts in a data centre that is taken out of service or removed.
    DataCentreOut {
        /// Name of the data centre.
        name: Arc<str>,
    },
    /// New work in a data centre ramps up over 30 s.
    DataCentreIn {
        /// Name of the data centre.
        name: Arc<str>,
    },
    /// A key becomes valid.
    KeyWorks {
        /// Workspace of the key.
        workspace: Arc<str>,
        /// Name of the key.
        key: Arc<str>,
    },
    /// A key becomes invalid; waiting calls that were made with it are refused.
    KeyStops {
        /// Workspace of the key.
        workspace: Arc<str>,
        /// Name of the key.
        key: Arc<str>,
    },
    /// The fleet-wide limit on running calls and job runs of a workspace changes.
    Limit {
        /// Name of the workspace.
        workspace: Arc<str>,
        /// Limit before the change; 0 for a new workspace.
        before: u32,
        /// Limit after the change; 0 for a removed workspace.
        after: u32,
    },
    /// The percentage of capacity that a workspace gets under full load changes.
    Share {
        /// Name of the workspace.
        workspace: Arc<str>,
        /// Percentage of the sum of all shares before the change.
        before: u32,
        /// Percentage of the sum of all shares after the change.
        after: u32,
    },
    /// A service is removed; calls to it are rejected with status 404.
    ServiceGone {
        /// Name of the service.
        name: Arc<str>,
    },
    /// A service is assigned to another pool, so its targets are other instances.
    ServiceMoves {
        /// Name of the service.
        name: Arc<str>,
        /// Pool after the change.
        pool: Arc<str>,
    },
    /// The intended number of instances of a pool changes.
    Pool {
        /// Name of the pool.
        name: Arc<str>,
        /// Size before the change; 0 for a new pool.
        before: u32,
        /// Size after the change; 0 for a removed pool.
        after: u32,
    },
}

impl fmt::Display for Effect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::DataCentreOut { name } => write!(f, "nothing starts in {name} within 4 s"),
            Self::DataCentreIn { name } => write!(f, "work returns to {name} over 30 s"),
            Self::KeyWorks { workspace, key } => write!(f, "key {key} of {workspace} works"),
            Self::KeyStops { workspace, key } => {
                write!(f, "key {key} of {workspace} stops working within 4 s")
            }
            Self::Limit {
                workspace,
                before,
                after,
            } => write!(f, "{workspace} runs at most {after} units, before {before}"),
            Self::Share {
                workspace,
                before,
                after,
            } => write!(
                f,
                "{workspace} gets {after}% of full capacity, before {before}%"
            ),
            Self::ServiceGone { name } => write!(f, "calls of service {name} get 404"),
            Self::ServiceMoves { name, pool } => {
                write!(f, "service {name} runs on the instances of pool {pool}")
            }
            Self::Pool {
                name,
                before,
                after,
            } => write!(f, "pool {name} has {after} instances, before {before}"),
        }
    }
}
