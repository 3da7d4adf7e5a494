use super::{Action, Instance, InstanceId, Purpose, State, Step};
use crate::fleet::PoolId;

/// One instance on its way from one pool to another.
///
/// Drain, wait for zero, move, admit: the phase in the row is the whole state of a move, so any
/// manager continues it from there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Move {
    /// Instance that moves.
    pub instance: InstanceId,
    /// Pool that gives it.
    pub from: PoolId,
    /// Pool that gets it.
    pub to: PoolId,
}

impl Move {
    /// Returns the first step.
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

    /// Lists the moves under way, whoever started them.
    ///
    /// ```
    /// use coriandernotch::pools::{Move, State};
    ///
    /// assert_eq!(Move::under_way(&State::example(2, 4)).count(), 0);
    /// ```
    pub fn under_way(state: &State) -> impl Iterator<Item = Self> {
        let of = |(instance, i): (InstanceId, &Instance)| match i.purpose {
            Some(Purpose::Move(to)) => Some(Self {
                instance,
                from: i.pool,
                to,
            }),
            _ => None,
        };
        state.instances().filter_map(of)
    }
}
