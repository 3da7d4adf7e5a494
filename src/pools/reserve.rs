use super::{InstanceId, State};
use crate::collections::Map;
use crate::fleet::{DataCentreId, PoolId};

/// Idle instances needed to survive the loss of any one rack or data centre.
///
/// A rack may be lost while maintenance uses the whole budget of its pools. Maintenance stops when
/// a data centre is lost, so the budgets absorb their part of that loss.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reserve {
    /// Size needed for one buffer that all pools share.
    pub shared: u32,
    /// Total size needed for separate buffers, one for each pool.
    pub own: u32,
    /// Serving instances in the spare pool.
    pub held: u32,
    /// Instances in the fleet.
    pub total: u32,
}

impl Reserve {
    /// Computes the reserve for the current racks and data centres of the instances.
    ///
    /// ```
    /// use coriandernotch::pools::{Reserve, State};
    ///
    /// let reserve = Reserve::of(&State::example(3, 4));
    /// assert!(reserve.shared <= reserve.own);
    /// assert_eq!(reserve.held, 4);
    /// ```
    pub fn of(state: &State) -> Self {
        let mut racks: Vec<u32> = vec![0; state.rack_count()];
        let mut data_centres: Map<DataCentreId, u32> = Map::default();
        let mut reserve = Self::default();
        for (id, pool) in state.pools() {
            let serving = |m: &&InstanceId| !state.instance(**m).phase.is_unavailable();
            reserve.total += pool.members.len() as u32;
            if pool.spare {
                reserve.held = pool.members.iter().filter(serving).count() as u32;
                continue;
            }
            let needs = needs_after_loss(state, id);
            for (rack, need) in &needs.0 {
                racks[*rack] += need;
            }
            for (data_centre, need) in &needs.1 {
                *data_centres.entry(*data_centre).or_default() += need;
            }
            let rack = needs.0.values().copied().max().unwrap_or(0);
            let data_centre = needs.1.values().copied().max().unwrap_or(0);
            reserve.own += rack.max(buffer_size(data_centre, needs.1.len()));
        }
        let rack = racks.into_iter().max().unwrap_or(0);
        let data_centre = data_centres.values().copied().max().unwrap_or(0);
        reserve.shared = rack.max(buffer_size(data_centre, data_centres.len()));
        reserve
    }
}

/// Returns the size of a buffer, spread evenly over a number of data centres, that still has
/// `need` instances after the loss of one.
fn buffer_size(need: u32, data_centres: usize) -> u32 {
    match u32::try_from(data_centres) {
        Ok(count) if count > 1 => (need * count).div_ceil(count - 1),
        _ => need,
    }
}

/// Counts the instances that a pool lacks after the loss of each of its racks and data centres.
fn needs_after_loss(state: &State, id: PoolId) -> (Map<usize, u32>, Map<DataCentreId, u32>) {
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
