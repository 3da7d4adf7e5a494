use super::Dispatcher;
use super::dispatcher::lock;
use crate::clock::Instant;
use crate::collections::Map;
use crate::event::Figures;
use crate::fleet::{ServiceId, WorkspaceId};

impl Dispatcher {
    /// Returns the running calls per workspace that peers reported, summed over all services.
    ///
    /// ```
    /// use coriandernotch::call::Dispatcher;
    /// use coriandernotch::limit::Ledger;
    ///
    /// assert!(Dispatcher::new(Ledger::example(2, 10)).peer_running().is_empty());
    /// ```
    pub fn peer_running(&self) -> Map<WorkspaceId, u32> {
        let mut totals = Map::default();
        for (_, upstream) in self.upstreams() {
            for (workspace, count) in &lock(&upstream).reported {
                *totals.entry(*workspace).or_insert(0) += count;
            }
        }
        totals
    }

    /// Returns the figures that explain why a call of `workspace` to `service` was refused.
    ///
    /// ```
    /// use coriandernotch::call::Dispatcher;
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::limit::Ledger;
    ///
    /// let dispatcher = Dispatcher::new(Ledger::example(2, 10));
    /// assert_eq!(dispatcher.figures(None, None, Instant::default()).limit, None);
    /// ```
    pub fn figures(
        &self,
        workspace: Option<WorkspaceId>,
        service: Option<ServiceId>,
        now: Instant,
    ) -> Figures {
        let mut figures = Figures {
            fresh: self.is_fresh(now),
            ..Figures::default()
        };
        let enforced = self.enforced();
        let Some(current) = enforced.first() else {
            return figures;
        };
        if let Some(id) = workspace {
            figures.limit = current.workspace(id).map(|w| w.limit);
            let (running, home, lent) =
                self.with_ledger(|l| (l.running(id), l.quota(id), l.lent(id)));
            (figures.running, figures.home, figures.lent) = (Some(running), Some(home), Some(lent));
            figures.running_elsewhere = Some(self.peer_running().get(&id).copied().unwrap_or(0));
        }
        if let Some(id) = service
            && let Some(upstream) = self.upstream(id)
        {
            let upstream = lock(&upstream);
            figures.queue_limit = current.service(id).map(|s| s.queue_limit);
            figures.slots = Some(upstream.targets.capacity(now, &enforced));
            figures.waiting = workspace.map(|workspace| upstream.queues.waiting(workspace));
        }
        figures
    }
}
