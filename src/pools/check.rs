//! Which steps the budgets allow.

use super::{Action, Budget, Cover, Instance, InstanceId, Phase, Purpose, Refusal, State, Step};
use super::{Pool, Tally};
use crate::collections::Map;
use crate::fleet::PoolId;

/// Instances as a change would leave them.
pub(super) struct Draft {
    pub(super) instances: Vec<(InstanceId, Instance)>,
    pub(super) pools: Vec<PoolId>,
    /// New claims on the spare pool, when they change.
    pub(super) cover: Option<Vec<(PoolId, Cover)>>,
}

impl State {
    /// Tells whether the steps may be taken together.
    ///
    /// # Errors
    ///
    /// Returns the first reason against it.
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
            cover: None,
        };
        for step in steps {
            if draft.instances.iter().any(|(id, _)| *id == step.instance) {
                return Err(Refusal::Phase);
            }
            let before = self.instance(step.instance);
            let after = self.step(before, step.action)?;
            for pool in [before.pool, after.pool] {
                if !draft.pools.contains(&pool) {
                    draft.pools.push(pool);
                }
            }
            draft.instances.push((step.instance, after));
        }
        self.check_token(draft.pools.iter().filter_map(|id| self.pool(*id)))?;
        self.check_counts(steps, &draft)?;
        draft.cover = self.new_cover(&draft);
        self.check_cover(steps, &draft)?;
        // The claims change only together with the row of the spare pool.
        if let (Some(spare), Some(_)) = (self.spare, &draft.cover)
            && !draft.pools.contains(&spare)
        {
            draft.pools.push(spare);
        }
        Ok(draft)
    }

    /// Refuses when one of the pools was written by a newer manager.
    pub(super) fn check_token<'a>(
        &self,
        pools: impl Iterator<Item = &'a Pool>,
    ) -> Result<(), Refusal> {
        match pools.map(|pool| pool.token).max() {
            Some(token) if token > self.token() => Err(Refusal::Superseded { token }),
            _ => Ok(()),
        }
    }

    fn step(&self, before: &Instance, action: Action) -> Result<Instance, Refusal> {
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
                // A reboot that ends late still counts once a new incarnation shows up.
                let rebooting = phase == Phase::Rebooting;
                after.phase = Phase::Down;
                after.purpose = before.purpose.filter(|_| rebooting);
            }
            _ => return Err(Refusal::Phase),
        }
        Ok(after)
    }

    fn check_counts(&self, steps: &[Step], draft: &Draft) -> Result<(), Refusal> {
        for id in &draft.pools {
            let Some(pool) = self.pool(*id) else {
                return Err(Refusal::Pool);
            };
            let leaves =
                |step: &Step| step.action.needs_room() && self.instance(step.instance).pool == *id;
            if !steps.iter().any(leaves) {
                continue;
            }
            let budget = Budget::of(pool);
            let limit = budget.limit();
            let count = budget.count(&self.tally_after(*id, pool, draft));
            // A drain that is under way when failures use up the budget may not go on either.
            let count = count.max(budget.count(&self.tally(pool)));
            if count > limit {
                let pool = *id;
                return Err(Refusal::Budget { pool, count, limit });
            }
        }
        Ok(())
    }

    fn tally_after(&self, id: PoolId, pool: &Pool, draft: &Draft) -> Tally {
        let changed = |m: &InstanceId| draft.instances.iter().any(|(i, _)| i == m);
        let kept = pool.members.iter().filter(|m| !changed(m));
        let new = draft.instances.iter().filter(|(_, after)| after.pool == id);
        Tally::of(
            kept.map(|m| self.instance(*m))
                .chain(new.map(|(_, after)| after)),
        )
    }

    /// Returns the claims on the spare pool after the change, unless they stay the same.
    fn new_cover(&self, draft: &Draft) -> Option<Vec<(PoolId, Cover)>> {
        let old = &self.pool(self.spare?)?.cover;
        let mut new = old.clone();
        for id in &draft.pools {
            let pool = self.pool(*id)?;
            let cover = Budget::of(pool).cover(&self.tally_after(*id, pool, draft));
            new.retain(|(pool, _)| pool != id);
            if cover != Cover::default() {
                new.push((*id, cover));
            }
        }
        new.sort_by_key(|(pool, _)| *pool);
        (new != *old).then_some(new)
    }

    /// Checks that the spare pool covers the loss of any one rack or data centre.
    ///
    /// One failure hits only the pools in that domain, so their claims add up per domain and
    /// pools in different domains share the same spare instances.
    fn check_cover(&self, steps: &[Step], draft: &Draft) -> Result<(), Refusal> {
        let drains = |step: &&Step| self.needs_cover(step);
        let Some(step) = steps.iter().find(drains) else {
            return Ok(());
        };
        let asker = self.instance(step.instance).pool;
        let Some((spare_id, spare)) = self.spare.and_then(|id| Some((id, self.pool(id)?))) else {
            return self.check_without_spare(asker, draft);
        };
        let claims = draft.cover.as_ref().unwrap_or(&spare.cover);
        if asker != spare_id && !claims.iter().any(|(pool, _)| *pool == asker) {
            return Ok(());
        }
        let mut racks = vec![(0u32, 0u32, u32::MAX); self.racks()];
        let mut data_centres: Map<_, (u32, u32, u32)> = Map::default();
        for (id, cover) in claims {
            for member in &self.pool(*id).ok_or(Refusal::Pool)?.members {
                let instance = self.instance(*member);
                let rack = &mut racks[instance.rack.index()];
                let data_centre =
                    data_centres
                        .entry(instance.data_centre)
                        .or_insert((0, 0, u32::MAX));
                for (domain, need) in [(rack, cover.rack), (data_centre, cover.data_centre)] {
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
            if instance.phase.is_out() || instance.pool != spare_id {
                continue;
            }
            serving += 1;
            racks[instance.rack.index()].1 += 1;
            data_centres.entry(instance.data_centre).or_default().1 += 1;
        }
        let short = |(need, inside, _): &&(u32, u32, u32)| *need > 0 && *need > serving - inside;
        if let Some((need, inside, _)) = racks.iter().find(short) {
            let (pool, need, have) = (asker, *need, serving - inside);
            return Err(Refusal::Rack { pool, need, have });
        }
        if let Some((need, inside, _)) = data_centres.values().find(short) {
            let (pool, need, have) = (asker, *need, serving - inside);
            return Err(Refusal::DataCentre { pool, need, have });
        }
        Ok(())
    }

    /// Tells whether a step takes away from what the next failure needs.
    ///
    /// Lending a spare instance to a pool that lacks instances is what the spare pool is for, so
    /// that move is exempt; otherwise a claim by that very pool could block it for ever.
    fn needs_cover(&self, step: &Step) -> bool {
        let from = self.instance(step.instance).pool;
        match step.action {
            Action::Drain(Purpose::Move(to)) if Some(from) == self.spare => {
                self.unavailable(to).0 == 0
            }
            Action::Drain(_) => true,
            _ => false,
        }
    }

    fn check_without_spare(&self, asker: PoolId, draft: &Draft) -> Result<(), Refusal> {
        let pool = self.pool(asker).ok_or(Refusal::Pool)?;
        let need = Budget::of(pool).cover(&self.tally_after(asker, pool, draft));
        let (pool, have) = (asker, 0);
        match need {
            Cover {
                rack: 0,
                data_centre: 0,
            } => Ok(()),
            Cover {
                rack: 0,
                data_centre: need,
            } => Err(Refusal::DataCentre { pool, need, have }),
            Cover { rack: need, .. } => Err(Refusal::Rack { pool, need, have }),
        }
    }
}
