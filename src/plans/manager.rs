use std::sync::Arc;

use super::{Plan, Record, Turn, View};
use crate::clock::Instant;
use crate::fleet::{Document, Registry};
use crate::platform::{Error, Table};
use crate::pools::{Change, Outcome, Planner, Recent, Refusal, Rows, State, Step, scan, settle};

/// Brings the pools to what the document says, one turn after another.
///
/// Holds nothing that another manager needs: after a crash the next one goes on from the rows.
/// After each turn the caller sends [`State::orders`] of [`Manager::state`] to the platform.
#[derive(Debug, Default)]
pub struct Manager {
    registry: Registry,
    document: Option<Arc<Document>>,
    state: Option<State>,
    /// State before rows had to be read again, for its times only.
    older: Option<State>,
    plans: Vec<Plan>,
    recent: Recent,
    fenced: u64,
}

impl Manager {
    /// Returns the state, unless rows must be read again.
    pub fn state(&self) -> Option<&State> {
        self.state.as_ref()
    }

    /// Returns the plans.
    pub fn plans(&self) -> &[Plan] {
        &self.plans
    }

    /// Returns the plans, to state the health of their pools.
    pub fn plans_mut(&mut self) -> &mut [Plan] {
        &mut self.plans
    }

    /// Takes one turn: records failures and progress, then starts moves and waves.
    ///
    /// # Errors
    ///
    /// Returns the error of the table; the next turn reads the rows again.
    ///
    /// ```
    /// use coriandernotch::{clock::Instant, fleet, pools::Tenure, standin::Store};
    /// use coriandernotch::plans::{Calendar, Manager, Turn, View};
    ///
    /// # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
    /// let document = fleet::parse("f", include_str!("../../examples/rennes.jsonc")).unwrap();
    /// let now = Instant::default();
    /// let view = View {
    ///     tenure: &Tenure::new(1),
    ///     calendar: &Calendar::new(now, 0),
    ///     document: &document.into(),
    ///     listing: &[],
    ///     sight: &|_| None,
    /// };
    /// let turn = Manager::default().turn(now, &Store::new().client("a"), view).await;
    /// assert_eq!(turn.unwrap(), Turn::Complete);
    /// # });
    /// ```
    pub async fn turn(
        &mut self,
        now: Instant,
        table: &dyn Table,
        view: View<'_>,
    ) -> Result<Turn, Error> {
        let turn = self.try_turn(now, table, view).await;
        if turn != Ok(Turn::Complete) {
            self.older = self.state.take().or(self.older.take());
        }
        turn
    }

    async fn try_turn(
        &mut self,
        now: Instant,
        table: &dyn Table,
        view: View<'_>,
    ) -> Result<Turn, Error> {
        self.adopt(view.document);
        if !self.is_current(view) {
            let turn = self.read(now, table, view).await?;
            if turn != Turn::Complete {
                return Ok(turn);
            }
        }
        for row in scan(table, Record::PREFIX).await? {
            let name = row.key.strip_prefix(Record::PREFIX);
            let plan = self.plans.iter_mut().find(|p| Some(&*p.name) == name);
            if let (Some(plan), Some(record)) = (plan, Record::read(Some(&row))) {
                plan.record = record;
            }
        }
        let turn = self.follow(now, table, view).await?;
        if turn != Turn::Complete {
            return Ok(turn);
        }
        self.begin(now, table, view).await
    }

    /// Takes another document over.
    fn adopt(&mut self, document: &Arc<Document>) {
        if self
            .document
            .as_ref()
            .is_some_and(|d| Arc::ptr_eq(d, document))
        {
            return;
        }
        self.document = Some(document.clone());
        self.older = self.state.take().or(self.older.take());
        let mut old = std::mem::take(&mut self.plans);
        for entry in &document.plans {
            let pool = self.registry.pool(&entry.pool);
            let known = old.iter().position(|plan| plan.name == entry.name);
            let mut plan = known.map_or_else(|| Plan::new(entry, pool), |i| old.swap_remove(i));
            plan.adopt(entry, pool);
            self.plans.push(plan);
        }
    }

    /// Tells whether the state has all instances of the list that a pool of the document names.
    fn is_current(&self, view: View<'_>) -> bool {
        let Some(state) = &self.state else {
            return false;
        };
        let listed = view.listing.iter();
        let missing = |name: &str| {
            let mut pools = view.document.pools.iter();
            state.instance_id(name).is_none()
                && pools.any(|pool| pool.instances.iter().any(|i| **i == *name))
        };
        state.token() == view.tenure.token() && !listed.into_iter().any(|i| missing(&i.name))
    }

    /// Reads the rows, writes those that are missing, and fences earlier managers off.
    async fn read(
        &mut self,
        now: Instant,
        table: &dyn Table,
        view: View<'_>,
    ) -> Result<Turn, Error> {
        let rows = Rows::fetch(table).await?;
        let (registry, listing) = (&mut self.registry, view.listing);
        let state = State::build(now, view.tenure, view.document, registry, listing);
        let Some(mut state) = state.read(now, registry, &rows) else {
            return Ok(Turn::Conflict);
        };
        if let Some(older) = self.older.take() {
            state.keep_times(&older);
        }
        let found = state.found();
        self.state = Some(state);
        let Ok(found) = found else {
            return Ok(Turn::Superseded);
        };
        for change in found {
            let turn = self.settle(now, table, &change).await?;
            if turn != Turn::Complete {
                return Ok(turn);
            }
        }
        let token = view.tenure.token();
        let fence = self.state.as_ref().map(State::fence);
        let Some(Ok(fence)) = fence.filter(|_| self.fenced != token) else {
            return Ok(Turn::Complete);
        };
        if !fence.writes.is_empty() {
            let turn = self.settle(now, table, &fence).await?;
            if turn != Turn::Complete {
                return Ok(turn);
            }
        }
        self.fenced = token;
        Ok(Turn::Complete)
    }

    /// Takes the steps that follow from what was seen, and takes back drains of stopped plans.
    async fn follow(
        &mut self,
        now: Instant,
        table: &dyn Table,
        view: View<'_>,
    ) -> Result<Turn, Error> {
        let Some(state) = &self.state else {
            return Ok(Turn::Conflict);
        };
        let sight = |id| (view.sight)(state.instance(id));
        let mut steps = state.review(now, view.calendar.unix(now), sight);
        // A failure uses up budget, so it comes before any step that needs room.
        steps.sort_by_key(|step| step.action.needs_room());
        let retreats = self.plans.iter();
        steps.extend(retreats.flat_map(|plan| plan.retreat(now, view.calendar, state)));
        for step in steps {
            let turn = self.take(now, table, &[step]).await?;
            if turn != Turn::Complete {
                return Ok(turn);
            }
        }
        Ok(Turn::Complete)
    }

    /// Starts moves and waves.
    async fn begin(
        &mut self,
        now: Instant,
        table: &dyn Table,
        view: View<'_>,
    ) -> Result<Turn, Error> {
        let moves = self.state.as_ref().map(|state| Planner::plan(now, state));
        for planned in moves.unwrap_or_default() {
            let turn = self.take(now, table, &[planned.start()]).await?;
            if turn != Turn::Complete {
                return Ok(turn);
            }
        }
        for i in 0..self.plans.len() {
            let (Some(state), plan) = (&self.state, &mut self.plans[i]) else {
                return Ok(Turn::Conflict);
            };
            let Ok(wave) = plan.choose(now, view.calendar, state) else {
                continue;
            };
            let change = match state.draft(&wave.steps) {
                Ok(change) => plan.guard(change),
                Err(Refusal::Superseded { .. }) => return Ok(Turn::Superseded),
                Err(_) => continue,
            };
            let turn = self.settle(now, table, &change).await?;
            if turn != Turn::Complete {
                return Ok(turn);
            }
            if let Some(state) = &self.state {
                self.plans[i].started(now, &wave, state);
            }
        }
        Ok(Turn::Complete)
    }

    /// Takes steps if the budgets allow them.
    async fn take(
        &mut self,
        now: Instant,
        table: &dyn Table,
        steps: &[Step],
    ) -> Result<Turn, Error> {
        let Some(state) = &self.state else {
            return Ok(Turn::Conflict);
        };
        match state.draft(steps) {
            Ok(change) => self.settle(now, table, &change).await,
            Err(Refusal::Superseded { .. }) => Ok(Turn::Superseded),
            Err(_) => Ok(Turn::Complete),
        }
    }

    async fn settle(
        &mut self,
        now: Instant,
        table: &dyn Table,
        change: &Change,
    ) -> Result<Turn, Error> {
        let mut recent = self.recent.clone();
        recent.push(change);
        let written = change.clone().with(recent.write());
        match (settle(table, &written).await, &mut self.state) {
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
