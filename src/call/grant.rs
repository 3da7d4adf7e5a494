use std::net::SocketAddr;
use std::sync::Arc;

use super::{Completion, Dispatcher, Order};
use crate::admit::Refusal;
use crate::clock::{self, Instant};
use crate::limit::Permit;
use crate::route::{TargetId, Verdict};

/// The slot on a target and the permit of its workspace that one call holds.
///
/// Dropping an unfinished grant releases the slot at once; the permit is released at once when
/// nothing was sent, otherwise after the longest run of a call.
#[derive(Debug)]
pub struct Grant {
    pub(super) dispatcher: Arc<Dispatcher>,
    pub(super) order: Order,
    pub(super) permit: Permit,
    pub(super) target: TargetId,
    pub(super) address: SocketAddr,
    pub(super) granted: Instant,
    pub(super) tried: Vec<TargetId>,
    /// Latest time at which the call can still run on the target; `None` until it is sent.
    pub(super) run_deadline: Option<Instant>,
    pub(super) finished: bool,
}

impl Grant {
    /// Returns the address of the target.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the time at which the slot was granted.
    pub fn granted_at(&self) -> Instant {
        self.granted
    }

    /// Decides, immediately before the first byte is sent, whether the call may run, and returns
    /// the latest time at which it can still run on the target.
    ///
    /// # Errors
    ///
    /// The call was not run: the configuration is stale, the instance is shutting down, the
    /// deadline passed, or the key, data centre or permit is no longer valid.
    pub fn send(&mut self, now: Instant) -> Result<Instant, Refusal> {
        let run_deadline = self.dispatcher.recheck(self, now)?;
        self.run_deadline = Some(run_deadline);
        Ok(run_deadline)
    }

    /// Reverts [`Grant::send`] when the transport reports for certain that nothing was sent.
    pub fn revert_send(&mut self) {
        self.run_deadline = None;
    }

    /// Moves the call to another target when the current one is unreachable.
    ///
    /// # Errors
    ///
    /// The call was not run: its deadline passed, the retry budget is exhausted, or no other target
    /// has a free slot.
    pub fn retry(&mut self, verdict: Verdict, now: Instant) -> Result<(), Refusal> {
        let dispatcher = self.dispatcher.clone();
        dispatcher.retry(self, verdict, now)
    }

    /// Records a verdict in the target's health while the call goes on.
    pub fn report(&self, verdict: Verdict, now: Instant) {
        self.dispatcher.record_verdict(self, verdict, now);
    }

    /// Ends the call: releases its slot and records the verdict in the health of the target.
    ///
    /// The permit is released at once for [`Completion::Confirmed`], otherwise when the call can no
    /// longer be running.
    pub fn finish(mut self, verdict: Verdict, end: Completion, now: Instant) {
        self.finished = true;
        let dispatcher = self.dispatcher.clone();
        dispatcher.finish(&self, verdict, end, now);
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        if self.finished {
            return;
        }
        let end = if self.run_deadline.is_some() {
            Completion::Unconfirmed
        } else {
            Completion::Confirmed
        };
        let dispatcher = self.dispatcher.clone();
        dispatcher.finish(self, Verdict::Neutral, end, clock::now());
    }
}
