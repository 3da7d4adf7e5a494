use std::cmp::Reverse;

use crate::collections::Map;
use crate::fleet::PoolId;
use crate::pools::{Action, InstanceId, Phase, Purpose, Refusal, State, Step};

/// Refused candidates after which no more are tried, to bound the time of a decision.
const MAX_REFUSALS: usize = 8;

/// Group of instances whose drains start together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Wave {
    /// Steps that start the drains.
    pub steps: Vec<Step>,
    /// Why the last refused candidate was left out; `None` if no candidate was refused.
    pub refusal: Option<Refusal>,
}

impl Wave {
    /// Chooses as many of the candidates as the budgets allow now.
    ///
    /// Instances in failure domains (racks, or data centres for a pool without a rack budget) that
    /// already have unavailable instances come first. If such a domain fails next, those instances
    /// are not lost a second time, so this order leaves the most budget. A new wave starts as soon
    /// as single instances return, since waiting for a whole wave would leave budget unused.
    ///
    /// ```
    /// use coriandernotch::plans::Wave;
    /// use coriandernotch::pools::{InstanceId, State};
    ///
    /// let state = State::example(1, 2);
    /// let (pool, _) = state.pools().next().unwrap();
    /// let wave = Wave::choose(&state, pool, vec![InstanceId(0), InstanceId(1)]);
    /// assert_eq!(wave.steps.len(), 1);
    /// assert!(wave.refusal.is_some());
    /// ```
    pub fn choose(state: &State, pool: PoolId, mut candidates: Vec<InstanceId>) -> Self {
        let mut wave = Self::default();
        let Some(pool) = state.pool(pool) else {
            return wave;
        };
        let failure_domain = |id: InstanceId| match (pool.budget.rack, state.instance(id)) {
            (0, instance) => instance.data_centre.0,
            (_, instance) => instance.rack.0,
        };
        let mut unavailable_by_domain: Map<u32, u32> = Map::default();
        for member in &pool.members {
            if state.instance(*member).phase != Phase::Serving {
                *unavailable_by_domain
                    .entry(failure_domain(*member))
                    .or_default() += 1;
            }
        }
        candidates.sort_by_cached_key(|id| {
            let failure_domain = failure_domain(*id);
            let unavailable = unavailable_by_domain
                .get(&failure_domain)
                .copied()
                .unwrap_or(0);
            (Reverse(unavailable), failure_domain, *id)
        });
        let mut refusals = 0;
        for id in candidates {
            let step = Step::new(id, Action::Drain(Purpose::Reboot));
            wave.steps.push(step);
            let Err(refusal) = state.check(&wave.steps) else {
                continue;
            };
            wave.steps.pop();
            wave.refusal = Some(refusal);
            refusals += 1;
            if matches!(refusal, Refusal::Budget { .. }) || refusals == MAX_REFUSALS {
                break;
            }
        }
        wave
    }
}
