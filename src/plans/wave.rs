use std::cmp::Reverse;

use crate::collections::Map;
use crate::fleet::PoolId;
use crate::pools::{Action, InstanceId, Phase, Purpose, Refusal, State, Step};

/// Refusals after which no more candidates are tried, so that a decision stays short.
const REFUSALS: usize = 8;

/// Instances whose drain starts together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Wave {
    /// First steps of the instances.
    pub steps: Vec<Step>,
    /// Why there are no more.
    pub refusal: Option<Refusal>,
}

impl Wave {
    /// Chooses as many of the candidates as the budgets allow now.
    ///
    /// Failure domains that are already disturbed come first: what is out in the domain that
    /// fails next is not lost once more, so this leaves the most room. As instances come back
    /// one by one the next ones start; waiting for a whole wave would leave budget unused.
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
        let mut out = Self::default();
        let Some(pool) = state.pool(pool) else {
            return out;
        };
        let domain = |id: InstanceId| match (pool.budget.rack, state.instance(id)) {
            (0, instance) => instance.data_centre.0,
            (_, instance) => instance.rack.0,
        };
        let mut disturbed: Map<u32, u32> = Map::default();
        for member in &pool.members {
            if state.instance(*member).phase != Phase::Serving {
                *disturbed.entry(domain(*member)).or_default() += 1;
            }
        }
        candidates.sort_by_cached_key(|id| {
            let domain = domain(*id);
            let out = disturbed.get(&domain).copied().unwrap_or(0);
            (Reverse(out), domain, *id)
        });
        let mut refusals = 0;
        for id in candidates {
            let step = Step::new(id, Action::Drain(Purpose::Reboot));
            out.steps.push(step);
            let Err(refusal) = state.check(&out.steps) else {
                continue;
            };
            out.steps.pop();
            out.refusal = Some(refusal);
            refusals += 1;
            if matches!(refusal, Refusal::Budget { .. }) || refusals == REFUSALS {
                break;
            }
        }
        out
    }
}
