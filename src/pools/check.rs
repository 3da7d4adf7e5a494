//! Checks of steps against the availability budgets.

use super::{
    Action, Budget, Instance, InstanceId, Phase, Purpose, Refusal, Shortfall, State, Step,
};
use super::{Pool, Tally};
use crate::collections::Map;
use crate::fleet::PoolId;

/// Effect of steps that are not written yet.
pub(super) struct Draft {
    /// Changed instances as the steps leave them.
    pub(super) instances: Vec<(InstanceId, Instance)>,
    /// Pools whose rows must be written.
    pub(super) pools: Vec<PoolId>,
    /// New shortfalls of all pools, when they change.
    pub(super) shortfalls: Option<Vec<(PoolId, Shortfall)>>,
}

impl State {
    /// Tells whether the steps may be taken together.
    ///
    /// # Errors
    ///
    /// Returns the first rule that the steps break.
    ///
    /// ```
    /// use coriandernotch::pools::{Action, InstanceId, Purpose, State, Step};
    ///
    /// let state = State::example(1, 2);
    /// let drain = |i| Step::new(InstanceId(i), Action::Drain(Purpose::Reboot));
    /// assert!(state.check(&[drain(0)]).is_ok());
    /// assert!(state.check(&[drain(0), drain(1)]).is_err());
    /// ```
    pub fn check(&self, steps: &[Step]) -> Result<(), Refusal> {
        self.try_steps(steps).map(drop)
    }

    pub(super) fn try_steps(&self, steps: &[Step]) -> Result<Draft, Refusal> {
        let mut draft = Draft {
            instances: Vec::with_capacity(steps.len()),
            pools: Vec::new(),
            shortfalls: None,
        };
        for step in steps {
            if draft.instances.iter().any(|(id, _)| *id == step.instance) {
                return Err(Refusal::Phase);
            }
            let before = self.instance(step.instance);
            let after = self.apply_action(before, step.action)?;
            for pool in [before.pool, after.pool] {
                if !draft.pools.contains(&pool) {
                    draft.pools.push(pool);
                }
            }
            draft.instances.push((step.instance, after));
        }
        self.check_token(draft.pools.iter().filter_map(|id| self.pool(*id)))?;
        self.check_budgets(steps, &draft)?;
        draft.shortfalls = self.changed_shortfalls(&draft);
        self.check_spare_capacity(steps, &draft)?;
        // The row of the spare pool stores the shortfalls, so it must be written with them.
        if let (Some(spare), Some(_)) = (self.spare, &draft.shortfalls)
            && !draft.pools.contains(&spare)
        {
            draft.pools.push(spare);
        }
        Ok(draft)
    }

    /// Fails if a manager with a newer fencing token has written the row of one of the pools.
    pub(super) fn check_token<'a>(
        &self,
        pools: impl Iterator<Item = &'a Pool>,
    ) -> Result<(), Refusal> {
        match pools.map(|pool| pool.token).max() {
            Some(token) if token > self.token() => Err(Refusal::Superseded { token }),
            _ => Ok(()),
        }
    }

    fn apply_action(&self, before: &Instance, action: Action) -> Result<Instance, Refusal> {
        let mut after = before.clone();
        match (before.phase, action) {
            (Phase::Serving, Action::Drain(purpose)) => {
                if let Purpose::Move(to) = purpose
                    && (to == before.pool || self.pool(to).is_none())
                {
                    return Err(Refusal::Pool);
                }
                after.phase = Phase::Draining;
                after.purpose = Some(purpose);
            }
            (Phase::Draining, Action::Proceed { incarnation }) => match before.purpose {
                Some(Purpose::Move(to)) => {
                    after.phase = Phase::Moving;
                    after.pool = to;
                }
                Some(Purpose::Reboot) => {
                    after.phase = Phase::Rebooting;
                    after.incarnation = incarnation;
                }
                None => return Err(Refusal::Phase),
            },
            (Phase::Moving | Phase::Rebooting | Phase::Down, Action::Admit { unix }) => {
                if before.purpose == Some(Purpose::Reboot) {
                    after.maintained = unix;
                }
                after.phase = Phase::Serving;
                after.purpose = None;
            }
            (Phase::Draining, Action::Cancel) => {
                after.phase = Phase::Serving;
                after.purpose = None;
            }
            (phase, Action::Fail) if phase != Phase::Down => {
                // The purpose is kept, so that a late reboot is recorded once a new incarnation
                // appears.
                let rebooting = phase == Phase::Rebooting;
                after.phase = Phase::Down;
                after.purpose = before.purpose.filter(|_| rebooting);
            }
            _ => return Err(Refusal::Phase),
        }
        Ok(after)
    }

    fn check_budgets(&self, steps: &[Step], draft: &Draft) -> Result<(), Refusal> {
        for id in &draft.pools {
            let Some(pool) = self.pool(*id) else {
                return Err(Refusal::Pool);
            };
            let takes_capacity =
                |step: &Step| step.action.uses_budget() && self.instance(step.instance).pool == *id;
            if !steps.iter().any(takes_capacity) {
                continue;
            }
            let budget = Budget::of(pool);
            let limit = budget.limit();
            let count = budget.count_unavailable(&self.tally_after(*id, pool, draft));
            // The state before the steps counts too: a drain may not proceed once failures have
            // used up the budget.
            let count = count.max(budget.count_unavailable(&self.tally(pool)));
            if count > limit {
                let pool = *id;
                return Err(Refusal::Budget { pool, count, limit });
            }
        }
        Ok(())
    }

    fn tally_after(&self, id: PoolId, pool: &Pool, draft: &Draft) -> Tally {
        let is_changed = |m: &InstanceId| draft.instances.iter().any(|(i, _)| i == m);
        let unchanged = pool.members.iter().filter(|m| !is_changed(m));
        let changed = draft.instances.iter().filter(|(_, after)| after.pool == id);
        Tally::of(
            unchanged
                .map(|m| self.instance(*m))
                .chain(changed.map(|(_, after)| after)),
        )
    }

    /// Returns the shortfalls of all pools after the change, unless they stay the same.
    fn changed_shortfalls(&self, draft: &Draft) -> Option<Vec<(PoolId, Shortfall)>> {
        let old = &self.pool(self.spare?)?.shortfalls;
        let mut new = old.clone();
        for id in &draft.pools {
            let pool = self.pool(*id)?;
            let shortfall = Budget::of(pool).shortfall(&self.tally_after(*id, pool, draft));
            new.retain(|(pool, _)| pool != id);
            if shortfall != Shortfall::default() {
                new.push((*id, shortfall));
            }
        }
        new.sort_by_key(|(pool, _)| *pool);
        (new != *old).then_some(new)
    }

    /// Checks that the spare pool can make up for the loss of any one rack or data centre.
    ///
    /// A failure affects only the pools with instances in the lost rack or data centre. Shortfalls
    /// are therefore summed for each of these failure domains, and pools in different domains share
    /// the same spare instances.
    fn check_spare_capacity(&self, steps: &[Step], draft: &Draft) -> Result<(), Refusal> {
        let needs_capacity = |step: &&Step| self.needs_spare_capacity(step);
        let Some(step) = steps.iter().find(needs_capacity) else {
            return Ok(());
        };
        let requester = self.instance(step.instance).pool;
        let Some((spare_id, spare)) = self.spare.and_then(|id| Some((id, self.pool(id)?))) else {
            return self.check_without_spare_pool(requester, draft);
        };
        let shortfalls = draft.shortfalls.as_ref().unwrap_or(&spare.shortfalls);
        if requester != spare_id && !shortfalls.iter().any(|(pool, _)| *pool == requester) {
            return Ok(());
        }
        // For each failure domain: spare instances needed after its loss, spare instances inside
        // it, and the pool whose shortfall was added last.
        let mut racks = vec![(0u32, 0u32, u32::MAX); self.rack_count()];
        let mut data_centres: Map<_, (u32, u32, u32)> = Map::default();
        for (id, shortfall) in shortfalls {
            for member in &self.pool(*id).ok_or(Refusal::Pool)?.members {
                let instance = self.instance(*member);
                let rack = &mut racks[instance.rack.index()];
                let data_centre =
                    data_centres
                        .entry(instance.data_centre)
                        .or_insert((0, 0, u32::MAX));
                for (domain, need) in [(rack, shortfall.rack), (data_centre, shortfall.data_centre)]
                {
                    if domain.2 != id.0 {
                        domain.0 += need;
                        domain.2 = id.0;
                    }
                }
            }
        }
        let mut serving = 0;
        for member in &spare.members {
            let instance = draft.instances.iter().find(|(id, _)| id == member);
            let instance = instance.map_or(self.instance(*member), |(_, after)| after);
            if instance.phase.is_unavailable() || instance.pool != spare_id {
                continue;
            }
            serving += 1;
            racks[instance.rack.index()].1 += 1;
            data_centres.entry(instance.data_centre).or_default().1 += 1;
        }
        let is_short = |(need, inside, _): &&(u32, u32, u32)| *need > 0 && *need > serving - inside;
        if let Some((need, inside, _)) = racks.iter().find(is_short) {
            let (pool, need, have) = (requester, *need, serving - inside);
            return Err(Refusal::Rack { pool, need, have });
        }
        if let Some((need, inside, _)) = data_centres.values().find(is_short) {
            let (pool, need, have) = (requester, *need, serving - inside);
            return Err(Refusal::DataCentre { pool, need, have });
        }
        Ok(())
    }

    /// Tells whether a step removes capacity that may be needed after the next failure.
    ///
    /// Lending a spare instance to a pool that lacks instances is the purpose of the spare pool, so
    /// that move is exempt. Otherwise the shortfall of the receiving pool could block it for ever.
    fn needs_spare_capacity(&self, step: &Step) -> bool {
        let from = self.instance(step.instance).pool;
        match step.action {
            Action::Drain(Purpose::Move(to)) if Some(from) == self.spare => {
                self.unavailable(to).0 == 0
            }
            Action::Drain(_) => true,
            _ => false,
        }
    }

    fn check_without_spare_pool(&self, requester: PoolId, draft: &Draft) -> Result<(), Refusal> {
        let pool = self.pool(requester).ok_or(Refusal::Pool)?;
        let need = Budget::of(pool).shortfall(&self.tally_after(requester, pool, draft));
        let (pool, have) = (requester, 0);
        match need {
            Shortfall {
                rack: 0,
                data_centre: 0,
            } => Ok(()),
            Shortfall {
                rack: 0,
                data_centre: need,
            } => Err(Refusal::DataCentre { pool, need, have }),
            Shortfall { rack: need, .. } => Err(Refusal::Rack { pool, need, have }),
        }
    }
}
