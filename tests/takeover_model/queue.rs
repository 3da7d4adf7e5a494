use std::collections::BTreeMap;

use coriandernotch::clock::Instant;

/// Events of a simulation in the order of their times; those of the same time in the order in which
/// they were added.
#[derive(Debug)]
pub(crate) struct Queue<E> {
    events: BTreeMap<(Instant, u64), E>,
    added: u64,
}

impl<E> Queue<E> {
    pub(crate) fn new() -> Self {
        Self {
            events: BTreeMap::new(),
            added: 0,
        }
    }

    pub(crate) fn push(&mut self, at: Instant, event: E) {
        self.added += 1;
        self.events.insert((at, self.added), event);
    }

    pub(crate) fn pop(&mut self) -> Option<(Instant, E)> {
        let ((at, _), event) = self.events.pop_first()?;
        Some((at, event))
    }
}
