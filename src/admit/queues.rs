use std::collections::VecDeque;

use slotmap::SlotMap;

use super::{Average, Refusal, Ticket, Waiting};
use crate::clock::Instant;
use crate::fleet::WorkspaceId;

/// Waiting calls of one workspace.
#[derive(Debug, Default)]
struct Queue {
    /// Tickets in order of arrival, including those of cancelled calls.
    tickets: VecDeque<Ticket>,
    /// Number of tickets whose call was not cancelled.
    live: usize,
}

/// Waiting calls of one service, first in first out per workspace.
///
/// The next call comes from the workspace with the fewest running calls per share. A fully used
/// service is thus divided in proportion to the shares, and a free slot goes to any waiting call.
///
/// ```
/// use std::time::Duration;
/// use coriandernotch::admit::Queues;
/// use coriandernotch::clock::Instant;
/// use coriandernotch::fleet::WorkspaceId;
///
/// let now = Instant::default();
/// let mut queues = Queues::default();
/// queues.push(WorkspaceId(0), now + Duration::from_secs(1), now, 8, 1000, "call").unwrap();
/// let (next, late) = queues.next(now, |_| Some(0.0));
/// assert_eq!(next.unwrap().value, "call");
/// assert!(late.is_empty());
/// ```
#[derive(Debug)]
pub struct Queues<T> {
    calls: SlotMap<Ticket, Waiting<T>>,
    workspaces: Vec<Queue>,
    service_time: Average,
}

impl<T> Default for Queues<T> {
    fn default() -> Self {
        Self {
            calls: SlotMap::with_key(),
            workspaces: Vec::new(),
            service_time: Average::default(),
        }
    }
}

impl<T> Queues<T> {
    /// Adds a call of `workspace`, or returns why it is refused together with its `value`.
    ///
    /// `slots` is the number of slots that serve the queues of this instance, and `limit` the
    /// largest number of waiting calls of the workspace.
    pub fn push(
        &mut self,
        workspace: WorkspaceId,
        deadline: Instant,
        now: Instant,
        slots: u32,
        limit: u32,
        value: T,
    ) -> Result<Ticket, (Refusal, T)> {
        if self.waiting(workspace) >= limit as usize {
            return Err((Refusal::QueueFull, value));
        }
        if slots > 0 && now + self.expected_duration(workspace, slots) > deadline {
            return Err((Refusal::DeadlineUnmeetable, value));
        }
        let ticket = self.calls.insert(Waiting {
            workspace,
            since: now,
            deadline,
            value,
        });
        if self.workspaces.len() <= workspace.index() {
            self.workspaces
                .resize_with(workspace.index() + 1, Queue::default);
        }
        let queue = &mut self.workspaces[workspace.index()];
        queue.tickets.push_back(ticket);
        queue.live += 1;
        Ok(ticket)
    }

    /// Removes and returns the next call to start, and all calls that can no longer meet their
    /// deadline.
    ///
    /// `load` returns the running calls per share of a workspace, or `None` if the workspace may not
    /// start a call now.
    pub fn next(
        &mut self,
        now: Instant,
        load: impl Fn(WorkspaceId) -> Option<f64>,
    ) -> (Option<Waiting<T>>, Vec<Waiting<T>>) {
        let mut late = Vec::new();
        let expected_end = now + self.service_time.mean();
        for queue in &mut self.workspaces {
            while let Some(&ticket) = queue.tickets.front() {
                match self.calls.get(ticket) {
                    Some(waiting) if waiting.deadline >= expected_end => break,
                    Some(_) => {
                        late.extend(self.calls.remove(ticket));
                        queue.live -= 1;
                    }
                    None => {}
                }
                queue.tickets.pop_front();
            }
        }
        let next = (0u32..)
            .zip(&self.workspaces)
            .filter_map(|(i, queue)| {
                let head = self.calls.get(*queue.tickets.front()?)?;
                Some((load(WorkspaceId(i))?, head.since, i))
            })
            .min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))
            .and_then(|(_, _, i)| {
                let queue = &mut self.workspaces[i as usize];
                queue.live -= 1;
                queue.tickets.pop_front()
            })
            .and_then(|ticket| self.calls.remove(ticket));
        (next, late)
    }

    /// Removes a waiting call; returns `None` if it is no longer waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> Option<Waiting<T>> {
        let waiting = self.calls.remove(ticket)?;
        let queue = &mut self.workspaces[waiting.workspace.index()];
        queue.live -= 1;
        // The ticket of a cancelled call stays in the queue until such tickets outnumber the others.
        if queue.tickets.len() > 64 && queue.tickets.len() > 2 * queue.live {
            queue.tickets.retain(|t| self.calls.contains_key(*t));
        }
        Some(waiting)
    }

    /// Removes and returns all waiting calls, for shutdown.
    pub fn drain(&mut self) -> Vec<Waiting<T>> {
        self.workspaces.clear();
        self.calls.drain().map(|(_, waiting)| waiting).collect()
    }

    /// Adds the service time of an ended call to the average.
    pub fn record_service_time(&mut self, service_time: std::time::Duration) {
        self.service_time.add(service_time);
    }

    /// Returns the moving average of the service time.
    pub fn service_time(&self) -> std::time::Duration {
        self.service_time.mean()
    }

    /// Returns the number of waiting calls of a workspace.
    pub fn waiting(&self, workspace: WorkspaceId) -> usize {
        self.workspaces
            .get(workspace.index())
            .map_or(0, |queue| queue.live)
    }

    /// Returns the workspaces with waiting calls and the number of these calls.
    pub fn demand(&self) -> impl Iterator<Item = (WorkspaceId, usize)> {
        (0u32..)
            .zip(&self.workspaces)
            .filter(|(_, queue)| queue.live > 0)
            .map(|(i, queue)| (WorkspaceId(i), queue.live))
    }

    /// Returns the number of waiting calls of all workspaces.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether no call is waiting.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns the expected wait plus service time of a new call.
    ///
    /// It assumes the least that the workspace can get, an equal part of `slots` among the
    /// workspaces with waiting calls.
    fn expected_duration(&self, workspace: WorkspaceId, slots: u32) -> std::time::Duration {
        let other_workspaces = self
            .demand()
            .filter(|(other, _)| *other != workspace)
            .count() as f64;
        let own_slots = f64::from(slots) / (other_workspaces + 1.0);
        let service_rounds = self.waiting(workspace) as f64 / own_slots.max(1.0);
        self.service_time.mean().mul_f64(service_rounds + 1.0)
    }
}
