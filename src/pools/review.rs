//! Derives steps from observations of the instances.

use std::time::Duration;

use super::{Action, InstanceId, Observation, Phase, State, Step};
use crate::clock::Instant;

/// Longest drain before the instance receives work again.
///
/// Jobs may checkpoint for minutes; an instance that drains longer blocks the budget of its pool.
pub const DRAIN_TIMEOUT: Duration = Duration::from_secs(30 * 60);

/// Longest time in which a rebooting or moving instance must return before it counts as failed.
pub const RETURN_TIMEOUT: Duration = Duration::from_secs(20 * 60);

impl State {
    /// Lists the steps that follow from observations; each may be taken independently.
    ///
    /// `observation` returns `None` for an instance about which nothing is known, for example while
    /// the platform's list cannot be read. Only time limits apply to such an instance.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::pools::{Observation, State};
    ///
    /// let state = State::example(1, 2);
    /// let fine = |_| Some(Observation { live: true, running: 0, incarnation: 1 });
    /// assert!(state.due_steps(Instant::default(), 0, fine).is_empty());
    /// ```
    pub fn due_steps(
        &self,
        now: Instant,
        unix: u64,
        observation: impl Fn(InstanceId) -> Option<Observation>,
    ) -> Vec<Step> {
        let over_budget: Vec<bool> = (0..self.pools.len())
            .map(|i| {
                let (count, limit) = self.unavailable(crate::fleet::PoolId(i as u32));
                count > limit
            })
            .collect();
        let steps = self.instances().filter_map(|(id, instance)| {
            let observation = observation(id);
            let live = observation.is_none_or(|s| s.live);
            let time_in_phase = now.since(instance.since);
            let action = match instance.phase {
                Phase::Serving => (!live).then_some(Action::Fail)?,
                Phase::Down => {
                    let observation = observation.filter(|s| s.live)?;
                    // Only a new incarnation proves that the late reboot took place.
                    let rebooted = observation.incarnation != instance.incarnation;
                    let unix = if rebooted { unix } else { instance.maintained };
                    Action::Admit { unix }
                }
                Phase::Draining if !live => Action::Fail,
                Phase::Draining if over_budget[instance.pool.index()] => Action::Cancel,
                Phase::Draining if time_in_phase > DRAIN_TIMEOUT => Action::Cancel,
                Phase::Draining => {
                    let observation = observation.filter(|s| s.running == 0)?;
                    let incarnation = observation.incarnation;
                    Action::Proceed { incarnation }
                }
                Phase::Moving if observation.is_some_and(|s| s.live) => Action::Admit { unix },
                Phase::Rebooting
                    if observation
                        .is_some_and(|s| s.live && s.incarnation != instance.incarnation) =>
                {
                    Action::Admit { unix }
                }
                Phase::Moving | Phase::Rebooting => {
                    (time_in_phase > RETURN_TIMEOUT).then_some(Action::Fail)?
                }
            };
            Some(Step::new(id, action))
        });
        steps.collect()
    }
}
