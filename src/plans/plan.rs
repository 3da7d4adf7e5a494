use std::sync::Arc;
use std::time::Duration;

use super::{Blocker, Calendar, Estimate, Health, Progress, Record, Status, Wave, Window};
use crate::clock::Instant;
use crate::collections::Map;
use crate::fleet::{self, PoolId};
use crate::pools::{Action, Change, InstanceId, Phase, Purpose, State, Step};

/// Delay before an instance whose maintenance did not complete is tried again.
const RETRY_DELAY: Duration = Duration::from_secs(3600);

/// Rolling maintenance of one pool.
///
/// The rows of the instances hold what was done and the [`Record`] holds what operators requested,
/// so another manager continues from those. A `Plan` itself keeps only what it has learned, such as
/// the estimate and the retry times.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Unique name of the plan.
    pub name: Arc<str>,
    /// Pool whose instances are maintained.
    pub pool: PoolId,
    /// State that operators requested, as last read.
    pub record: Record,
    /// Whether enough calls to the pool succeed.
    pub health: Health,
    period_days: u32,
    window: Window,
    paused_in_document: bool,
    estimate: Estimate,
    // Keyed by name, since ids change when the state is read again.
    started_at: Map<Arc<str>, Instant>,
    retry_at: Map<Arc<str>, Instant>,
    blocker: Option<Blocker>,
}

impl Plan {
    /// Creates a plan from its entry in the document.
    pub fn new(plan: &fleet::Plan, pool: PoolId) -> Self {
        Self {
            name: plan.name.clone(),
            pool,
            record: Record::default(),
            health: Health::default(),
            period_days: plan.period_days,
            window: Window::of(plan),
            paused_in_document: plan.paused,
            estimate: Estimate::default(),
            started_at: Map::default(),
            retry_at: Map::default(),
            blocker: None,
        }
    }

    /// Creates a plan for the first pool of [`State::example`], for documentation examples.
    pub fn example() -> Self {
        let plan = r#"{"name": "reboots", "pool": "p0", "period-days": 21}"#;
        Self::new(
            &serde_json::from_str(plan).expect("the example plan is valid"),
            PoolId(0),
        )
    }

    /// Updates the plan to its entry in a new document; estimates and retry times stay.
    pub fn update(&mut self, plan: &fleet::Plan, pool: PoolId) {
        self.pool = pool;
        self.period_days = plan.period_days;
        self.window = Window::of(plan);
        self.paused_in_document = plan.paused;
    }

    /// Tells whether an instance has not been maintained in the current period.
    ///
    /// `unix_time` is in seconds since 1970. Periods are counted from 1970 as well, so all managers
    /// agree on them.
    pub fn is_due(&self, unix_time: u64, state: &State, id: InstanceId) -> bool {
        let period = |unix_time: u64| unix_time / (u64::from(self.period_days) * 86_400);
        period(state.instance(id).maintained) != period(unix_time)
    }

    /// Chooses the drains to start now.
    ///
    /// # Errors
    ///
    /// Returns the reason why nothing can start.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::plans::{Calendar, Plan};
    /// use coriandernotch::pools::State;
    ///
    /// let now = Instant::default();
    /// let calendar = Calendar::new(now, 1_800_000_000);
    /// let wave = Plan::example().choose(now, &calendar, &State::example(1, 2));
    /// assert_eq!(wave.unwrap().steps.len(), 1);
    /// ```
    pub fn choose(
        &mut self,
        now: Instant,
        calendar: &Calendar,
        state: &State,
    ) -> Result<Wave, Blocker> {
        self.record_ended(now, calendar, state);
        let wave = self.try_choose(now, calendar.unix_time(now), state);
        self.blocker = wave.as_ref().err().copied();
        wave
    }

    fn try_choose(&self, now: Instant, unix_time: u64, state: &State) -> Result<Wave, Blocker> {
        let pool = state.pool(self.pool).ok_or(Blocker::UnknownPool)?;
        let is_due = |id: &&InstanceId| self.is_due(unix_time, state, **id);
        let due: Vec<InstanceId> = pool.members.iter().filter(is_due).copied().collect();
        if due.is_empty() {
            return Err(Blocker::Done);
        }
        self.may_start(unix_time)?;
        let is_ready = |id: &InstanceId| {
            let instance = state.instance(*id);
            let retry_at = self.retry_at.get(&instance.name);
            instance.phase == Phase::Serving && retry_at.is_none_or(|retry_at| now >= *retry_at)
        };
        let ready: Vec<InstanceId> = due.into_iter().filter(is_ready).collect();
        if ready.is_empty() {
            return Err(Blocker::Busy);
        }
        let wave = Wave::choose(state, self.pool, ready);
        match (wave.steps.is_empty(), wave.refusal) {
            (true, Some(refusal)) => Err(Blocker::Budget(refusal)),
            (true, None) => Err(Blocker::Busy),
            (false, _) => Ok(wave),
        }
    }

    /// Checks that a drain may start now and is likely to complete within the window.
    fn may_start(&self, unix_time: u64) -> Result<(), Blocker> {
        self.may_run(unix_time)?;
        let remaining = self.window.remaining(unix_time);
        // At most half of the window is required, so that a window shorter than the maintenance of
        // one instance does not block the plan for ever.
        if remaining
            < self
                .estimate
                .high()
                .as_secs()
                .min(self.window.length_seconds() / 2)
        {
            let opens_at = self.window.next_opening(unix_time + remaining);
            return Err(Blocker::Window { opens_at });
        }
        Ok(())
    }

    /// Checks that drains may be in progress now.
    fn may_run(&self, unix_time: u64) -> Result<(), Blocker> {
        match self.record.status {
            Status::Withdrawn => return Err(Blocker::Withdrawn),
            Status::Paused => return Err(Blocker::Paused),
            Status::Running if self.paused_in_document => return Err(Blocker::Paused),
            Status::Running if !self.health.is_good() => return Err(Blocker::Unhealthy),
            Status::Running => {}
        }
        let opens_at = self.window.next_opening(unix_time);
        match self.window.remaining(unix_time) {
            0 => Err(Blocker::Window { opens_at }),
            _ => Ok(()),
        }
    }

    /// Lists the steps that cancel drains because the plan was stopped or its window closed.
    ///
    /// Reboots that have begun continue, since interrupting them restores no capacity.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::plans::{Calendar, Plan};
    /// use coriandernotch::pools::State;
    ///
    /// let now = Instant::default();
    /// let calendar = Calendar::new(now, 1_800_000_000);
    /// assert!(Plan::example().drains_to_cancel(now, &calendar, &State::example(1, 2)).is_empty());
    /// ```
    pub fn drains_to_cancel(&self, now: Instant, calendar: &Calendar, state: &State) -> Vec<Step> {
        if self.may_run(calendar.unix_time(now)).is_ok() {
            return Vec::new();
        }
        let ids = self.members_in_phase(state, Phase::Draining);
        ids.map(|id| Step::new(id, Action::Cancel)).collect()
    }

    /// Returns the instances of the pool that are in `phase` for a planned reboot.
    fn members_in_phase<'a>(
        &self,
        state: &'a State,
        phase: Phase,
    ) -> impl Iterator<Item = InstanceId> + 'a {
        let members = state.pool(self.pool).into_iter().flat_map(|p| &p.members);
        let is_in_phase = move |id: &&InstanceId| {
            let instance = state.instance(**id);
            instance.phase == phase && instance.purpose == Some(Purpose::Reboot)
        };
        members.filter(is_in_phase).copied()
    }

    /// Makes a change conditional on the version of the record, so that it fails after a pause.
    ///
    /// Call [`Plan::record_start`] once the change was applied.
    pub fn guard(&self, change: Change) -> Change {
        change.with(self.record.write(&self.name))
    }

    /// Records that the guarded change of a wave was applied.
    pub fn record_start(&mut self, now: Instant, wave: &Wave, state: &State) {
        self.record.version += 1;
        let names = wave
            .steps
            .iter()
            .map(|step| &state.instance(step.instance).name);
        self.started_at
            .extend(names.map(|name| (name.clone(), now)));
    }

    /// Updates the estimate and the retry times from the started instances that have ended.
    fn record_ended(&mut self, now: Instant, calendar: &Calendar, state: &State) {
        let unix_time = calendar.unix_time(now);
        let mut ended = Vec::new();
        self.started_at.retain(|name, at| {
            let Some(id) = state.instance_id(name) else {
                return false;
            };
            let has_ended = matches!(state.instance(id).phase, Phase::Serving | Phase::Down);
            if has_ended {
                ended.push((id, *at));
            }
            !has_ended
        });
        for (id, at) in ended {
            let name = &state.instance(id).name;
            if self.is_due(unix_time, state, id) {
                self.retry_at.insert(name.clone(), now + RETRY_DELAY);
            } else {
                self.estimate.observe(now.since(at));
                self.retry_at.remove(name);
            }
        }
    }

    /// Returns the progress of the plan in the current period.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::plans::{Calendar, Plan};
    /// use coriandernotch::pools::State;
    ///
    /// let now = Instant::default();
    /// let calendar = Calendar::new(now, 1_800_000_000);
    /// let progress = Plan::example().progress(now, &calendar, &State::example(1, 2));
    /// assert_eq!((progress.done, progress.total), (0, 4));
    /// ```
    pub fn progress(&self, now: Instant, calendar: &Calendar, state: &State) -> Progress {
        let unix_time = calendar.unix_time(now);
        let Some(pool) = state.pool(self.pool) else {
            return Progress::default();
        };
        let to_u32 = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        let total = to_u32(pool.members.len());
        let due_members = pool
            .members
            .iter()
            .filter(|id| self.is_due(unix_time, state, **id));
        let due = to_u32(due_members.count());
        let phases = pool.members.iter().map(|id| state.instance(*id).phase);
        let max_parallel = u64::from(pool.budget.unavailable.max(1));
        let work_seconds = u64::from(due) * self.estimate.mean().as_secs();
        Progress {
            total,
            done: total - due,
            draining: to_u32(self.members_in_phase(state, Phase::Draining).count()),
            rebooting: to_u32(self.members_in_phase(state, Phase::Rebooting).count()),
            down: to_u32(phases.filter(|phase| *phase == Phase::Down).count()),
            expected_end: self
                .window
                .end_of_work(unix_time, work_seconds.div_ceil(max_parallel)),
            blocker: self.blocker,
        }
    }
}
