//! What follows from what was seen of the instances.

use std::time::Duration;

use super::{Action, InstanceId, Phase, Sight, State, Step};
use crate::clock::Instant;

/// Longest drain before the instance is given work again.
///
/// Jobs may checkpoint for minutes; an instance that takes longer blocks the budget of its pool.
pub const DRAIN_LIMIT: Duration = Duration::from_secs(30 * 60);

/// Longest reboot or admission before the instance counts as failed.
pub const RETURN_LIMIT: Duration = Duration::from_secs(20 * 60);

impl State {
    /// Lists the steps that follow from what was seen; each may be taken on its own.
    ///
    /// `sight` is `None` for an instance of which nothing is known, for example while the
    /// platform's list cannot be read; nothing is concluded from that but the passing of time.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::pools::{Sight, State};
    ///
    /// let state = State::example(1, 2);
    /// let fine = |_| Some(Sight { live: true, running: 0, incarnation: 1 });
    /// assert!(state.review(Instant::default(), 0, fine).is_empty());
    /// ```
    pub fn review(
        &self,
        now: Instant,
        unix: u64,
        sight: impl Fn(InstanceId) -> Option<Sight>,
    ) -> Vec<Step> {
        let over: Vec<bool> = (0..self.pools.len())
            .map(|i| {
                let (count, limit) = self.unavailable(crate::fleet::PoolId(i as u32));
                count > limit
            })
            .collect();
        let steps = self.instances().filter_map(|(id, instance)| {
            let sight = sight(id);
            let live = sight.is_none_or(|s| s.live);
            let waited = now.since(instance.since);
            let action = match instance.phase {
                Phase::Serving => (!live).then_some(Action::Fail)?,
                Phase::Down => {
                    let sight = sight.filter(|s| s.live)?;
                    // Only a new incarnation proves that the late reboot took place.
                    let new = sight.incarnation != instance.incarnation;
                    let unix = if new { unix } else { instance.maintained };
                    Action::Admit { unix }
                }
                Phase::Draining if !live => Action::Fail,
                Phase::Draining if over[instance.pool.index()] => Action::Cancel,
                Phase::Draining if waited > DRAIN_LIMIT => Action::Cancel,
                Phase::Draining => {
                    let sight = sight.filter(|s| s.running == 0)?;
                    let incarnation = sight.incarnation;
                    Action::Proceed { incarnation }
                }
                Phase::Moving if sight.is_some_and(|s| s.live) => Action::Admit { unix },
                Phase::Rebooting
                    if sight.is_some_and(|s| s.live && s.incarnation != instance.incarnation) =>
                {
                    Action::Admit { unix }
                }
                Phase::Moving | Phase::Rebooting => {
                    (waited > RETURN_LIMIT).then_some(Action::Fail)?
                }
            };
            Some(Step::new(id, action))
        });
        steps.collect()
    }
}
