use std::cmp::Reverse;
use std::time::Duration;

use super::{InstanceId, Move, Phase, Pool, Purpose, RackId, State};
use crate::clock::Instant;
use crate::collections::Map;
use crate::fleet::{DataCentreId, PoolId};

/// Time for which the budget bears a failed instance before a spare one replaces it.
///
/// Replacing costs two moves, there and back, and most failures end within a working day. A
/// failure that the budget does not bear is replaced at once.
pub const REPLACE_AFTER: Duration = Duration::from_secs(12 * 3600);

/// Chooses the moves that bring the pools to their intended sizes.
///
/// Surplus instances go straight to pools that lack some; the spare pool lends only what is
/// still missing then and gets back what is left over. That is the least number of moves.
#[derive(Clone, Debug)]
pub struct Planner {
    needs: Vec<(PoolId, i64)>,
    spare: Option<PoolId>,
    moves: Vec<Move>,
    taken: Vec<bool>,
    places: Map<PoolId, Places>,
}

/// Instances of a pool per failure domain, with the moves planned so far.
type Places = (Map<RackId, u32>, Map<DataCentreId, u32>);

impl Planner {
    /// Lists the moves to start, those that mend a budget first.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::pools::{Planner, State};
    ///
    /// assert!(Planner::plan(Instant::default(), &State::example(2, 4)).is_empty());
    /// ```
    pub fn plan(now: Instant, state: &State) -> Vec<Move> {
        let mut planner = Self::new(now, state);
        planner.fill(state);
        planner.give_back(state);
        planner.moves
    }

    /// Returns the least number of moves that reaches the intended sizes, as far as instances
    /// are there; moves under way are not counted again.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::pools::{Planner, State};
    ///
    /// assert_eq!(Planner::minimum(Instant::default(), &State::example(2, 4)), 0);
    /// ```
    pub fn minimum(now: Instant, state: &State) -> u32 {
        let planner = Self::new(now, state);
        let mut lacking = 0;
        let mut surplus = 0;
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
        let mut out = Self {
            needs: Vec::new(),
            spare: state.spare(),
            moves: Vec::new(),
            taken: vec![false; state.instances().count()],
            places: Map::default(),
        };
        let mut inbound: Map<PoolId, i64> = Map::default();
        for planned in Move::under_way(state).filter(|m| m.from != m.to) {
            *inbound.entry(planned.to).or_default() += 1;
            *inbound.entry(planned.from).or_default() -= 1;
        }
        for (id, pool) in state.pools() {
            let moving = inbound.get(&id).copied().unwrap_or(0);
            let usable = pool.members.len() as i64 - lost(now, state, id, pool) + moving;
            out.needs.push((id, i64::from(pool.size) - usable));
            let places = out.places.entry(id).or_default();
            for member in &pool.members {
                let instance = state.instance(*member);
                *places.0.entry(instance.rack).or_default() += 1;
                *places.1.entry(instance.data_centre).or_default() += 1;
            }
        }
        out
    }

    /// Instances of a pool that may be drained for a move.
    fn candidates<'a>(
        &'a self,
        state: &'a State,
        pool: PoolId,
    ) -> impl Iterator<Item = InstanceId> + 'a {
        let members = state.pool(pool).into_iter().flat_map(|p| &p.members);
        let free =
            |m: &&InstanceId| !self.taken[m.index()] && state.instance(**m).phase == Phase::Serving;
        members.filter(free).copied()
    }

    fn fill(&mut self, state: &State) {
        let mut lacking: Vec<(PoolId, i64)> = self.needs.clone();
        lacking.retain(|(id, need)| *need > 0 && Some(*id) != self.spare);
        lacking.sort_by_key(|(id, need)| {
            let (count, limit) = state.unavailable(*id);
            Reverse((i64::from(count) - i64::from(limit), *need))
        });
        for (to, need) in lacking {
            for _ in 0..need {
                let donors = self.donors();
                let spare: Vec<PoolId> = self.spare.into_iter().collect();
                let moved = self.take(state, &donors, to) || self.take(state, &spare, to);
                if !moved {
                    break;
                }
            }
        }
    }

    fn give_back(&mut self, state: &State) {
        let Some(spare) = self.spare else { return };
        while self.need(spare) > 0 {
            let donors = self.donors();
            if !self.take(state, &donors, spare) {
                break;
            }
        }
    }

    /// Pools with more than they need, but for the spare pool.
    fn donors(&self) -> Vec<PoolId> {
        let surplus = |(id, need): &&(PoolId, i64)| *need < 0 && Some(*id) != self.spare;
        self.needs.iter().filter(surplus).map(|n| n.0).collect()
    }

    fn need(&self, pool: PoolId) -> i64 {
        let found = self.needs.iter().find(|(id, _)| *id == pool);
        found.map_or(0, |(_, need)| *need)
    }

    /// Plans the move that spreads both pools best over data centres and racks.
    ///
    /// A pool stays in the data centres where it is, as long as there is a choice.
    fn take(&mut self, state: &State, donors: &[PoolId], to: PoolId) -> bool {
        let places = &self.places[&to];
        let score = |from: PoolId, id: InstanceId| {
            let instance = state.instance(id);
            let near = places.1.get(&instance.data_centre).copied();
            let left = self.places[&from].1.get(&instance.data_centre);
            let rack = places.0.get(&instance.rack).copied().unwrap_or(0);
            let fullest = Reverse(left.copied().unwrap_or(0));
            (near.unwrap_or(u32::MAX), rack, fullest, id)
        };
        let all = donors
            .iter()
            .flat_map(|from| self.candidates(state, *from).map(|id| (*from, id)));
        let Some((from, instance)) = all.min_by_key(|(from, id)| score(*from, *id)) else {
            return false;
        };
        self.taken[instance.index()] = true;
        for (id, need) in &mut self.needs {
            *need += i64::from(*id == from) - i64::from(*id == to);
        }
        let at = state.instance(instance);
        for (pool, add) in [(from, false), (to, true)] {
            let places = self.places.get_mut(&pool).expect("known pool");
            let rack = places.0.entry(at.rack).or_default();
            let data_centre = places.1.entry(at.data_centre).or_default();
            for count in [rack, data_centre] {
                *count = if add {
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

/// Counts failed instances that must be replaced: those that are down for long, and all when the
/// budget does not bear them.
fn lost(now: Instant, state: &State, id: PoolId, pool: &Pool) -> i64 {
    let (count, limit) = state.unavailable(id);
    let members = pool.members.iter().map(|m| state.instance(*m));
    let down = members.filter(|i| i.phase == Phase::Down && i.purpose != Some(Purpose::Reboot));
    let lost = down.filter(|i| count > limit || now.since(i.since) >= REPLACE_AFTER);
    lost.count() as i64
}
