use super::{Action, Instance, InstanceId, Purpose, State, Step};
use crate::fleet::PoolId;

/// Move of one instance from one pool to another.
///
/// The instance is drained until nothing runs on it, assigned to the new pool and admitted there.
/// The phase in its row is the whole state of the move, so any manager can continue it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Move {
    /// Instance that moves.
    pub instance: InstanceId,
    /// Pool that the instance leaves.
    pub from: PoolId,
    /// Pool that the instance joins.
    pub to: PoolId,
}

impl Move {
    /// Returns the first step of the move.
    ///
    /// ```
    /// use coriandernotch::pools::{InstanceId, Move, State};
    ///
    /// let state = State::example(2, 4);
    /// let ids: Vec<_> = state.pools().map(|(id, _)| id).collect();
    /// let instance = state.pool(ids[2]).unwrap().members[0];
    /// let planned = Move { instance, from: ids[2], to: ids[0] };
    /// assert!(state.check(&[planned.start()]).is_ok());
    /// ```
    pub fn start(&self) -> Step {
        Step::new(self.instance, Action::Drain(Purpose::Move(self.to)))
    }

    /// Lists the moves in progress, whichever manager started them.
    ///
    /// ```
    /// use coriandernotch::pools::{Move, State};
    ///
    /// assert_eq!(Move::under_way(&State::example(2, 4)).count(), 0);
    /// ```
    pub fn under_way(state: &State) -> impl Iterator<Item = Self> {
        let as_move = |(instance, i): (InstanceId, &Instance)| match i.purpose {
            Some(Purpose::Move(to)) => Some(Self {
                instance,
                from: i.pool,
                to,
            }),
            _ => None,
        };
        state.instances().filter_map(as_move)
    }
}
