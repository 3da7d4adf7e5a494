use std::sync::Arc;

use crate::config::{Operation, Version};
use crate::document::Problem;
use crate::fleet::{Document, Registry, Snapshot, parse};
use crate::limit::Terms;

/// A version as it was passed on to the dispatcher.
#[derive(Clone, Debug)]
pub(super) struct Applied {
    pub(super) operation: Operation,
    pub(super) snapshot: Arc<Snapshot>,
    pub(super) terms: Terms,
}

impl Applied {
    /// Reads the document of a version.
    pub(super) fn read(version: &Version, registry: &mut Registry) -> Result<Self, Vec<Problem>> {
        let document: Document = parse("fleet", &version.content)?;
        let head = &version.head;
        let snapshot = Arc::new(Snapshot::build(head.version, document.into(), registry));
        let voters = head.voters.clone();
        Ok(Self {
            operation: head.operation,
            terms: Terms::of(&snapshot, voters),
            snapshot,
        })
    }
}
