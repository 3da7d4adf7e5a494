use std::sync::Arc;
use std::time::Duration;

use super::{Calendar, Health, Pace, Progress, Record, Status, Wait, Wave, Window};
use crate::clock::Instant;
use crate::collections::Map;
use crate::fleet::{self, PoolId};
use crate::pools::{Action, Change, InstanceId, Phase, Purpose, State, Step};

/// Time after which an instance whose drain was taken back is tried again.
const RETRY: Duration = Duration::from_secs(3600);

/// Rolling maintenance of one pool.
///
/// What was done is in the rows of the instances and what operators want is in the [`Record`], so
/// another manager continues from there; a `Plan` adds only what it has learned.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Unique name.
    pub name: Arc<str>,
    /// Pool that is maintained.
    pub pool: PoolId,
    /// What operators want, as last read.
    pub record: Record,
    /// Whether the calls to the pool succeed.
    pub health: Health,
    period_days: u32,
    window: Window,
    held: bool,
    pace: Pace,
    // By name, since ids change when the state is read again.
    started: Map<Arc<str>, Instant>,
    deferred: Map<Arc<str>, Instant>,
    wait: Option<Wait>,
}

impl Plan {
    /// Makes a plan from its entry in the document.
    pub fn new(plan: &fleet::Plan, pool: PoolId) -> Self {
        Self {
            name: plan.name.clone(),
            pool,
            record: Record::default(),
            health: Health::default(),
            period_days: plan.period_days,
            window: Window::of(plan),
            held: plan.paused,
            pace: Pace::default(),
            started: Map::default(),
            deferred: Map::default(),
            wait: None,
        }
    }

    /// Makes a plan for the first pool of [`State::example`], for examples.
    pub fn example() -> Self {
        let plan = r#"{"name": "reboots", "pool": "p0", "period-days": 21}"#;
        Self::new(&serde_json::from_str(plan).expect("valid"), PoolId(0))
    }

    /// Takes another version of the document over, keeping what was learned.
    pub fn adopt(&mut self, plan: &fleet::Plan, pool: PoolId) {
        self.pool = pool;
        self.period_days = plan.period_days;
        self.window = Window::of(plan);
        self.held = plan.paused;
    }

    /// Tells whether an instance was not maintained in the present period.
    ///
    /// Periods are counted from 1970, so all managers agree on them.
    pub fn is_due(&self, unix: u64, state: &State, id: InstanceId) -> bool {
        let period = |unix: u64| unix / (u64::from(self.period_days) * 86_400);
        period(state.instance(id).maintained) != period(unix)
    }

    /// Chooses what to start now.
    ///
    /// # Errors
    ///
    /// Returns why nothing starts.
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
    ) -> Result<Wave, Wait> {
        self.learn(now, calendar, state);
        let chosen = self.try_choose(now, calendar.unix(now), state);
        self.wait = chosen.as_ref().err().copied();
        chosen
    }

    fn try_choose(&self, now: Instant, unix: u64, state: &State) -> Result<Wave, Wait> {
        let pool = state.pool(self.pool).ok_or(Wait::Pool)?;
        let due = |id: &&InstanceId| self.is_due(unix, state, **id);
        let due: Vec<InstanceId> = pool.members.iter().filter(due).copied().collect();
        if due.is_empty() {
            return Err(Wait::Done);
        }
        self.may_start(unix)?;
        let ready = |id: &InstanceId| {
            let instance = state.instance(*id);
            let deferred = self.deferred.get(&instance.name);
            instance.phase == Phase::Serving && deferred.is_none_or(|until| now >= *until)
        };
        let ready: Vec<InstanceId> = due.into_iter().filter(ready).collect();
        if ready.is_empty() {
            return Err(Wait::Busy);
        }
        let wave = Wave::choose(state, self.pool, ready);
        match (wave.steps.is_empty(), wave.refusal) {
            (true, Some(refusal)) => Err(Wait::Budget(refusal)),
            (true, None) => Err(Wait::Busy),
            (false, _) => Ok(wave),
        }
    }

    fn may_start(&self, unix: u64) -> Result<(), Wait> {
        self.may_run(unix)?;
        let left = self.window.left(unix);
        // A window shorter than the work of one instance must not block the plan for ever.
        if left < self.pace.most().as_secs().min(self.window.length() / 2) {
            let opens = self.window.opens(unix + left);
            return Err(Wait::Window { opens });
        }
        Ok(())
    }

    /// Tells whether drains may be under way at all.
    fn may_run(&self, unix: u64) -> Result<(), Wait> {
        match self.record.status {
            Status::Withdrawn => return Err(Wait::Withdrawn),
            Status::Paused => return Err(Wait::Paused),
            Status::Running if self.held => return Err(Wait::Paused),
            Status::Running if !self.health.is_good() => return Err(Wait::Health),
            Status::Running => {}
        }
        let opens = self.window.opens(unix);
        match self.window.left(unix) {
            0 => Err(Wait::Window { opens }),
            _ => Ok(()),
        }
    }

    /// Lists the drains to take back because the plan was stopped or its window closed.
    ///
    /// Reboots that have begun go on, since ending them early gives nothing back.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::plans::{Calendar, Plan};
    /// use coriandernotch::pools::State;
    ///
    /// let now = Instant::default();
    /// let calendar = Calendar::new(now, 1_800_000_000);
    /// assert!(Plan::example().retreat(now, &calendar, &State::example(1, 2)).is_empty());
    /// ```
    pub fn retreat(&self, now: Instant, calendar: &Calendar, state: &State) -> Vec<Step> {
        if self.may_run(calendar.unix(now)).is_ok() {
            return Vec::new();
        }
        let ids = self.under_way(state, Phase::Draining);
        ids.map(|id| Step::new(id, Action::Cancel)).collect()
    }

    fn under_way<'a>(
        &self,
        state: &'a State,
        phase: Phase,
    ) -> impl Iterator<Item = InstanceId> + 'a {
        let members = state.pool(self.pool).into_iter().flat_map(|p| &p.members);
        let ours = move |id: &&InstanceId| {
            let instance = state.instance(**id);
            instance.phase == phase && instance.purpose == Some(Purpose::Reboot)
        };
        members.filter(ours).copied()
    }

    /// Makes a change conditional on the record, so that it does not take effect after a pause.
    ///
    /// Call [`Plan::started`] when it was applied.
    pub fn guard(&self, change: Change) -> Change {
        change.with(self.record.write(&self.name))
    }

    /// Takes into account that the guarded change of a wave was applied.
    pub fn started(&mut self, now: Instant, wave: &Wave, state: &State) {
        self.record.version += 1;
        let names = wave
            .steps
            .iter()
            .map(|step| &state.instance(step.instance).name);
        self.started.extend(names.map(|name| (name.clone(), now)));
    }

    /// Takes into account how the instances that were started ended.
    fn learn(&mut self, now: Instant, calendar: &Calendar, state: &State) {
        let unix = calendar.unix(now);
        let mut ended = Vec::new();
        self.started.retain(|name, at| {
            let Some(id) = state.instance_id(name) else {
                return false;
            };
            let over = matches!(state.instance(id).phase, Phase::Serving | Phase::Down);
            if over {
                ended.push((id, *at));
            }
            !over
        });
        for (id, at) in ended {
            let name = &state.instance(id).name;
            if self.is_due(unix, state, id) {
                self.deferred.insert(name.clone(), now + RETRY);
            } else {
                self.pace.observe(now.since(at));
                self.deferred.remove(name);
            }
        }
    }

    /// Returns where the plan stands.
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
        let unix = calendar.unix(now);
        let Some(pool) = state.pool(self.pool) else {
            return Progress::default();
        };
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        let total = count(pool.members.len());
        let due = pool
            .members
            .iter()
            .filter(|id| self.is_due(unix, state, **id));
        let due = count(due.count());
        let down = pool.members.iter().map(|id| state.instance(*id).phase);
        let limit = u64::from(pool.budget.unavailable.max(1));
        let work = u64::from(due) * self.pace.mean().as_secs();
        Progress {
            total,
            done: total - due,
            draining: count(self.under_way(state, Phase::Draining).count()),
            rebooting: count(self.under_way(state, Phase::Rebooting).count()),
            down: count(down.filter(|phase| *phase == Phase::Down).count()),
            end: self.window.after(unix, work.div_ceil(limit)),
            wait: self.wait,
        }
    }
}
