use std::cmp::Reverse;
use std::time::Duration;

use super::{InstanceId, Move, Phase, Pool, Purpose, RackId, State};
use crate::clock::Instant;
use crate::collections::Map;
use crate::fleet::{DataCentreId, PoolId};

/// Time after which a spare instance replaces a failed one whose loss the budget allows.
///
/// A replacement costs two moves, there and back, and most failures end within a working day.
/// Instances whose loss exceeds the budget are replaced at once.
pub const REPLACE_AFTER: Duration = Duration::from_secs(12 * 3600);

/// Chooses the moves that bring the pools to their intended sizes.
///
/// Surplus instances move directly to pools that lack some. The spare pool lends only what is then
/// still missing, and receives the remaining surplus. This takes the fewest moves.
#[derive(Clone, Debug)]
pub struct Planner {
    /// Instances that each pool lacks; negative for a surplus.
    needs: Vec<(PoolId, i64)>,
    spare: Option<PoolId>,
    moves: Vec<Move>,
    /// Whether a move of the instance is planned, by index of the instance.
    has_move: Vec<bool>,
    domain_counts: Map<PoolId, DomainCounts>,
}

/// Instances of a pool per rack and per data centre, including the effect of the planned moves.
type DomainCounts = (Map<RackId, u32>, Map<DataCentreId, u32>);

impl Planner {
    /// Lists the moves to start; moves into the pools furthest over their budgets come first.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::pools::{Planner, State};
    ///
    /// assert!(Planner::plan(Instant::default(), &State::example(2, 4)).is_empty());
    /// ```
    pub fn plan(now: Instant, state: &State) -> Vec<Move> {
        let mut planner = Self::new(now, state);
        planner.fill_shortages(state);
        planner.return_surplus(state);
        planner.moves
    }

    /// Returns the least number of moves that brings the pools to their intended sizes, as far as
    /// there are enough instances. Moves in progress are not counted.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::pools::{Planner, State};
    ///
    /// assert_eq!(Planner::minimum_moves(Instant::default(), &State::example(2, 4)), 0);
    /// ```
    pub fn minimum_moves(now: Instant, state: &State) -> u32 {
        let planner = Self::new(now, state);
        let mut lacking = 0;
        let mut surplus = 0;
        // Movable instances of the spare pool, and instances that it lacks.
        let mut spares = (0, 0);
        for (id, need) in &planner.needs {
            let movable = planner.candidates(state, *id).count() as i64;
            if Some(*id) == planner.spare {
                spares = (movable, (*need).max(0));
            } else {
                lacking += (*need).max(0);
                surplus += (-need).clamp(0, movable);
            }
        }
        let filled = lacking.min(surplus + spares.0);
        let returned = (surplus - lacking).clamp(0, spares.1);
        u32::try_from(filled + returned).unwrap_or(0)
    }

    fn new(now: Instant, state: &State) -> Self {
        let mut planner = Self {
            needs: Vec::new(),
            spare: state.spare(),
            moves: Vec::new(),
            has_move: vec![false; state.instances().count()],
            domain_counts: Map::default(),
        };
        let mut net_inbound: Map<PoolId, i64> = Map::default();
        for planned in Move::under_way(state).filter(|m| m.from != m.to) {
            *net_inbound.entry(planned.to).or_default() += 1;
            *net_inbound.entry(planned.from).or_default() -= 1;
        }
        for (id, pool) in state.pools() {
            let net_moves = net_inbound.get(&id).copied().unwrap_or(0);
            let usable =
                pool.members.len() as i64 - count_to_replace(now, state, id, pool) + net_moves;
            planner.needs.push((id, i64::from(pool.size) - usable));
            let counts = planner.domain_counts.entry(id).or_default();
            for member in &pool.members {
                let instance = state.instance(*member);
                *counts.0.entry(instance.rack).or_default() += 1;
                *counts.1.entry(instance.data_centre).or_default() += 1;
            }
        }
        planner
    }

    /// Lists the instances of a pool that may be drained for a move.
    fn candidates<'a>(
        &'a self,
        state: &'a State,
        pool: PoolId,
    ) -> impl Iterator<Item = InstanceId> + 'a {
        let members = state.pool(pool).into_iter().flat_map(|p| &p.members);
        let is_free = |m: &&InstanceId| {
            !self.has_move[m.index()] && state.instance(**m).phase == Phase::Serving
        };
        members.filter(is_free).copied()
    }

    fn fill_shortages(&mut self, state: &State) {
        let mut lacking: Vec<(PoolId, i64)> = self.needs.clone();
        lacking.retain(|(id, need)| *need > 0 && Some(*id) != self.spare);
        lacking.sort_by_key(|(id, need)| {
            let (count, limit) = state.unavailable(*id);
            Reverse((i64::from(count) - i64::from(limit), *need))
        });
        for (to, need) in lacking {
            for _ in 0..need {
                let donors = self.surplus_pools();
                let spare: Vec<PoolId> = self.spare.into_iter().collect();
                let is_planned =
                    self.plan_move(state, &donors, to) || self.plan_move(state, &spare, to);
                if !is_planned {
                    break;
                }
            }
        }
    }

    fn return_surplus(&mut self, state: &State) {
        let Some(spare) = self.spare else { return };
        while self.need(spare) > 0 {
            let donors = self.surplus_pools();
            if !self.plan_move(state, &donors, spare) {
                break;
            }
        }
    }

    /// Lists the pools with more instances than they need, except the spare pool.
    fn surplus_pools(&self) -> Vec<PoolId> {
        let has_surplus = |(id, need): &&(PoolId, i64)| *need < 0 && Some(*id) != self.spare;
        self.needs.iter().filter(has_surplus).map(|n| n.0).collect()
    }

    fn need(&self, pool: PoolId) -> i64 {
        let found = self.needs.iter().find(|(id, _)| *id == pool);
        found.map_or(0, |(_, need)| *need)
    }

    /// Plans the move that spreads both pools best over data centres and racks.
    ///
    /// Returns false if no donor has an instance that can move. As long as there is a choice, a
    /// pool gets instances only in data centres where it already has some.
    fn plan_move(&mut self, state: &State, donors: &[PoolId], to: PoolId) -> bool {
        let target_counts = &self.domain_counts[&to];
        let score = |from: PoolId, id: InstanceId| {
            let instance = state.instance(id);
            let in_data_centre = target_counts.1.get(&instance.data_centre).copied();
            let donor_count = self.domain_counts[&from].1.get(&instance.data_centre);
            let in_rack = target_counts.0.get(&instance.rack).copied().unwrap_or(0);
            let fullest_first = Reverse(donor_count.copied().unwrap_or(0));
            (
                in_data_centre.unwrap_or(u32::MAX),
                in_rack,
                fullest_first,
                id,
            )
        };
        let candidates = donors
            .iter()
            .flat_map(|from| self.candidates(state, *from).map(|id| (*from, id)));
        let Some((from, instance)) = candidates.min_by_key(|(from, id)| score(*from, *id)) else {
            return false;
        };
        self.has_move[instance.index()] = true;
        for (id, need) in &mut self.needs {
            *need += i64::from(*id == from) - i64::from(*id == to);
        }
        let moved = state.instance(instance);
        for (pool, is_added) in [(from, false), (to, true)] {
            let counts = self
                .domain_counts
                .get_mut(&pool)
                .expect("pool of the state");
            let rack = counts.0.entry(moved.rack).or_default();
            let data_centre = counts.1.entry(moved.data_centre).or_default();
            for count in [rack, data_centre] {
                *count = if is_added {
                    *count + 1
                } else {
                    count.saturating_sub(1)
                };
            }
        }
        self.moves.push(Move { instance, from, to });
        true
    }
}

/// Counts the failed instances to replace: those that have been down for [`REPLACE_AFTER`], and all
/// of them if the pool exceeds its budget. Instances that failed in a planned reboot are left out.
fn count_to_replace(now: Instant, state: &State, id: PoolId, pool: &Pool) -> i64 {
    let (count, limit) = state.unavailable(id);
    let members = pool.members.iter().map(|m| state.instance(*m));
    let down = members.filter(|i| i.phase == Phase::Down && i.purpose != Some(Purpose::Reboot));
    let to_replace = down.filter(|i| count > limit || now.since(i.since) >= REPLACE_AFTER);
    to_replace.count() as i64
}
