use super::{InstanceId, State};
use crate::collections::Map;
use crate::fleet::{DataCentreId, PoolId};

/// Idle instances that the loss of any one rack or data centre asks for.
///
/// A rack may be lost while maintenance uses the whole budget of its pools; maintenance stops
/// when a data centre is lost, so the budgets absorb their part of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reserve {
    /// Instances that one buffer shared by all pools needs.
    pub shared: u32,
    /// Instances that buffers of each pool on its own need together.
    pub own: u32,
    /// Instances that serve in the spare pool now.
    pub held: u32,
    /// Instances of the fleet.
    pub total: u32,
}

impl Reserve {
    /// Computes the reserve for the places where instances are now.
    ///
    /// ```
    /// use coriandernotch::pools::{Reserve, State};
    ///
    /// let reserve = Reserve::of(&State::example(3, 4));
    /// assert!(reserve.shared <= reserve.own);
    /// assert_eq!(reserve.held, 4);
    /// ```
    pub fn of(state: &State) -> Self {
        let mut racks: Vec<u32> = vec![0; state.racks()];
        let mut data_centres: Map<DataCentreId, u32> = Map::default();
        let mut out = Self::default();
        for (id, pool) in state.pools() {
            let serving = |m: &&InstanceId| !state.instance(**m).phase.is_out();
            out.total += pool.members.len() as u32;
            if pool.spare {
                out.held = pool.members.iter().filter(serving).count() as u32;
                continue;
            }
            let needs = needs(state, id);
            for (rack, need) in &needs.0 {
                racks[*rack] += need;
            }
            for (data_centre, need) in &needs.1 {
                *data_centres.entry(*data_centre).or_default() += need;
            }
            let rack = needs.0.values().copied().max().unwrap_or(0);
            let data_centre = needs.1.values().copied().max().unwrap_or(0);
            out.own += rack.max(spread(data_centre, needs.1.len()));
        }
        let rack = racks.into_iter().max().unwrap_or(0);
        let data_centre = data_centres.values().copied().max().unwrap_or(0);
        out.shared = rack.max(spread(data_centre, data_centres.len()));
        out
    }
}

/// Returns the size of a buffer, spread evenly over `places`, that keeps `need` when one is lost.
fn spread(need: u32, places: usize) -> u32 {
    match u32::try_from(places) {
        Ok(places) if places > 1 => (need * places).div_ceil(places - 1),
        _ => need,
    }
}

/// What a pool lacks after the loss of each of its racks and data centres.
fn needs(state: &State, id: PoolId) -> (Map<usize, u32>, Map<DataCentreId, u32>) {
    let mut racks: Map<usize, u32> = Map::default();
    let mut data_centres: Map<DataCentreId, u32> = Map::default();
    let Some(pool) = state.pool(id) else {
        return (racks, data_centres);
    };
    for member in &pool.members {
        let instance = state.instance(*member);
        if pool.budget.rack > 0 {
            *racks.entry(instance.rack.index()).or_default() += 1;
        }
        *data_centres.entry(instance.data_centre).or_default() += 1;
    }
    for need in data_centres.values_mut() {
        *need = need.saturating_sub(pool.budget.unavailable);
    }
    (racks, data_centres)
}
