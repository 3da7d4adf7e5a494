use std::sync::Arc;

use super::{Input, Plan, Record, Turn};
use crate::clock::Instant;
use crate::fleet::{Document, Registry};
use crate::platform::{Error, Table};
use crate::pools::{Change, Changelog, Outcome, Planner, Refusal, Rows, State, Step, commit, scan};

/// Reconciles the pools with the document, one turn after another.
///
/// Everything that another manager needs is in the rows, so after a crash the next manager
/// continues from them. After each turn the caller sends the [`State::requests`] of
/// [`Manager::state`] to the platform.
#[derive(Debug, Default)]
pub struct Manager {
    registry: Registry,
    document: Option<Arc<Document>>,
    state: Option<State>,
    /// Last state before the rows had to be read again; only the start times of phases are kept
    /// from it.
    previous_state: Option<State>,
    plans: Vec<Plan>,
    recent: Changelog,
    /// Token under which the pool rows were last fenced.
    fenced_token: u64,
}

impl Manager {
    /// Returns the state, or `None` when the rows must be read again.
    pub fn state(&self) -> Option<&State> {
        self.state.as_ref()
    }

    /// Returns the plans.
    pub fn plans(&self) -> &[Plan] {
        &self.plans
    }

    /// Returns the plans mutably, so that the caller can record the health of their pools.
    pub fn plans_mut(&mut self) -> &mut [Plan] {
        &mut self.plans
    }

    /// Runs one turn: records failures and progress, then starts moves and waves.
    ///
    /// # Errors
    ///
    /// Returns the error of the table; the next turn reads the rows again.
    ///
    /// ```
    /// use coriandernotch::{clock::Instant, fleet, pools::Tenure, standin::Store};
    /// use coriandernotch::plans::{Calendar, Input, Manager, Turn};
    ///
    /// # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
    /// let document = fleet::parse("f", include_str!("../../examples/rennes.jsonc")).unwrap();
    /// let now = Instant::default();
    /// let input = Input {
    ///     tenure: &Tenure::new(1),
    ///     calendar: &Calendar::new(now, 0),
    ///     document: &document.into(),
    ///     listing: &[],
    ///     sight: &|_| None,
    /// };
    /// let turn = Manager::default().reconcile(now, &Store::new().client("a"), input).await;
    /// assert_eq!(turn.unwrap(), Turn::Complete);
    /// # });
    /// ```
    pub async fn reconcile(
        &mut self,
        now: Instant,
        table: &dyn Table,
        input: Input<'_>,
    ) -> Result<Turn, Error> {
        let turn = self.try_turn(now, table, input).await;
        if turn != Ok(Turn::Complete) {
            self.previous_state = self.state.take().or(self.previous_state.take());
        }
        turn
    }

    async fn try_turn(
        &mut self,
        now: Instant,
        table: &dyn Table,
        input: Input<'_>,
    ) -> Result<Turn, Error> {
        self.set_document(input.document);
        if !self.is_current(input) {
            let turn = self.load_state(now, table, input).await?;
            if turn != Turn::Complete {
                return Ok(turn);
            }
        }
        for row in scan(table, Record::PREFIX).await? {
            let plan_name = row.key.strip_prefix(Record::PREFIX);
            let plan = self.plans.iter_mut().find(|p| Some(&*p.name) == plan_name);
            if let (Some(plan), Some(record)) = (plan, Record::read(Some(&row))) {
                plan.record = record;
            }
        }
        let turn = self.apply_observations(now, table, input).await?;
        if turn != Turn::Complete {
            return Ok(turn);
        }
        self.start_work(now, table, input).await
    }

    /// Replaces the document, unless it is the same one, and updates the plans to it.
    fn set_document(&mut self, document: &Arc<Document>) {
        if self
            .document
            .as_ref()
            .is_some_and(|d| Arc::ptr_eq(d, document))
        {
            return;
        }
        self.document = Some(document.clone());
        self.previous_state = self.state.take().or(self.previous_state.take());
        let mut old_plans = std::mem::take(&mut self.plans);
        for entry in &document.plans {
            let pool = self.registry.pool(&entry.pool);
            let old_index = old_plans.iter().position(|plan| plan.name == entry.name);
            let mut plan =
                old_index.map_or_else(|| Plan::new(entry, pool), |i| old_plans.swap_remove(i));
            plan.update(entry, pool);
            self.plans.push(plan);
        }
    }

    /// Tells whether the state belongs to this tenure and has every listed instance that a pool of
    /// the document names.
    fn is_current(&self, input: Input<'_>) -> bool {
        let Some(state) = &self.state else {
            return false;
        };
        let listed = input.listing.iter();
        let is_missing = |name: &str| {
            let mut pools = input.document.pools.iter();
            state.instance_id(name).is_none()
                && pools.any(|pool| pool.instances.iter().any(|i| **i == *name))
        };
        state.token() == input.tenure.token() && !listed.into_iter().any(|i| is_missing(&i.name))
    }

    /// Loads the state from the rows, writes missing rows, and fences off earlier managers.
    async fn load_state(
        &mut self,
        now: Instant,
        table: &dyn Table,
        input: Input<'_>,
    ) -> Result<Turn, Error> {
        let rows = Rows::fetch(table).await?;
        let (registry, listing) = (&mut self.registry, input.listing);
        let state = State::build(now, input.tenure, input.document, registry, listing);
        let Some(mut state) = state.with_rows(now, registry, &rows) else {
            return Ok(Turn::Conflict);
        };
        if let Some(previous_state) = self.previous_state.take() {
            state.copy_phase_times(&previous_state);
        }
        let missing_rows = state.missing_rows();
        self.state = Some(state);
        let Ok(missing_rows) = missing_rows else {
            return Ok(Turn::Superseded);
        };
        for change in missing_rows {
            let turn = self.commit(now, table, &change).await?;
            if turn != Turn::Complete {
                return Ok(turn);
            }
        }
        let token = input.tenure.token();
        let fence = self.state.as_ref().map(State::fence);
        let Some(Ok(fence)) = fence.filter(|_| self.fenced_token != token) else {
            return Ok(Turn::Complete);
        };
        if !fence.writes.is_empty() {
            let turn = self.commit(now, table, &fence).await?;
            if turn != Turn::Complete {
                return Ok(turn);
            }
        }
        self.fenced_token = token;
        Ok(Turn::Complete)
    }

    /// Applies the steps that follow from observations and cancels drains of plans that must stop.
    async fn apply_observations(
        &mut self,
        now: Instant,
        table: &dyn Table,
        input: Input<'_>,
    ) -> Result<Turn, Error> {
        let Some(state) = &self.state else {
            return Ok(Turn::Conflict);
        };
        let sight = |id| (input.sight)(state.instance(id));
        let mut steps = state.due_steps(now, input.calendar.unix_time(now), sight);
        // A failure uses up budget, so it is recorded before any step that needs budget.
        steps.sort_by_key(|step| step.action.uses_budget());
        let plans = self.plans.iter();
        steps.extend(plans.flat_map(|plan| plan.drains_to_cancel(now, input.calendar, state)));
        for step in steps {
            let turn = self.try_steps(now, table, &[step]).await?;
            if turn != Turn::Complete {
                return Ok(turn);
            }
        }
        Ok(Turn::Complete)
    }

    /// Starts moves and waves.
    async fn start_work(
        &mut self,
        now: Instant,
        table: &dyn Table,
        input: Input<'_>,
    ) -> Result<Turn, Error> {
        let moves = self.state.as_ref().map(|state| Planner::plan(now, state));
        for planned_move in moves.unwrap_or_default() {
            let turn = self.try_steps(now, table, &[planned_move.start()]).await?;
            if turn != Turn::Complete {
                return Ok(turn);
            }
        }
        for i in 0..self.plans.len() {
            let (Some(state), plan) = (&self.state, &mut self.plans[i]) else {
                return Ok(Turn::Conflict);
            };
            let Ok(wave) = plan.choose(now, input.calendar, state) else {
                continue;
            };
            let change = match state.draft(&wave.steps) {
                Ok(change) => plan.guard(change),
                Err(Refusal::Superseded { .. }) => return Ok(Turn::Superseded),
                Err(_) => continue,
            };
            let turn = self.commit(now, table, &change).await?;
            if turn != Turn::Complete {
                return Ok(turn);
            }
            if let Some(state) = &self.state {
                self.plans[i].record_start(now, &wave, state);
            }
        }
        Ok(Turn::Complete)
    }

    /// Commits the steps if the budgets allow them and skips them otherwise.
    async fn try_steps(
        &mut self,
        now: Instant,
        table: &dyn Table,
        steps: &[Step],
    ) -> Result<Turn, Error> {
        let Some(state) = &self.state else {
            return Ok(Turn::Conflict);
        };
        match state.draft(steps) {
            Ok(change) => self.commit(now, table, &change).await,
            Err(Refusal::Superseded { .. }) => Ok(Turn::Superseded),
            Err(_) => Ok(Turn::Complete),
        }
    }

    /// Writes a change together with the row of recent changes, then applies it to the state.
    async fn commit(
        &mut self,
        now: Instant,
        table: &dyn Table,
        change: &Change,
    ) -> Result<Turn, Error> {
        let mut recent = self.recent.clone();
        recent.push(change);
        let with_recent = change.clone().with(recent.write());
        match (commit(table, &with_recent).await, &mut self.state) {
            (Outcome::Applied, Some(state)) => {
                state.apply(now, change);
                self.recent = recent;
                Ok(Turn::Complete)
            }
            (Outcome::Unavailable(error) | Outcome::Unknown(error), _) => Err(error),
            _ => Ok(Turn::Conflict),
        }
    }
}
