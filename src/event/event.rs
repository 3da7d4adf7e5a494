use std::sync::Arc;

use serde::Serialize;

use super::Figures;

/// Something that happened in an entry instance and that operators may want explained.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, strum::EnumDiscriminants)]
#[serde(
    tag = "kind",
    rename_all = "kebab-case",
    rename_all_fields = "kebab-case"
)]
#[strum_discriminants(
    name(EventKind),
    doc = "Kind of an [`Event`].",
    derive(strum::EnumIter, strum::IntoStaticStr),
    strum(serialize_all = "kebab-case")
)]
pub enum Event {
    /// Calls were refused before anything was run.
    Refused {
        /// Reason that the callers got.
        reason: &'static str,
        /// Rule behind the reason.
        rule: &'static str,
        /// Workspace, once its key was known.
        workspace: Option<Arc<str>>,
        /// Service, once it was known.
        service: Option<Arc<str>>,
        /// Figures at the first of these refusals.
        figures: Box<Figures>,
    },
    /// A target gets no calls for a while.
    Ejected {
        /// Address of the target.
        target: Arc<str>,
        /// How the last call to it ended.
        verdict: Arc<str>,
        /// Length of the ejection.
        seconds: u64,
    },
    /// A version came into force here, or is enforced beside it until its result is known.
    InForce {
        /// Version in force.
        version: u64,
        /// Versions enforced beside it.
        pending: Vec<u64>,
    },
    /// A change that this instance wrote came to an end.
    Commit {
        /// Version that the change was to make.
        version: u64,
        /// Operator, or `voters`.
        author: Arc<str>,
        /// `accepted`, `conflict`, `refused` with the reason, or `unknown` with the operation.
        outcome: Arc<str>,
    },
    /// The instances whose acknowledgement counts were changed by this instance.
    Voters {
        /// Names added.
        added: Vec<Arc<str>>,
        /// Names removed.
        removed: Vec<Arc<str>>,
    },
    /// The instance shuts down.
    Shutdown {
        /// Calls that still ran.
        running: usize,
        /// Calls that waited and were refused.
        waiting: usize,
    },
    /// The instance was stopped for so long that it gives up its vote and ends.
    VoteLost,
}
