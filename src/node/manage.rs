use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use futures_util::StreamExt;
use futures_util::stream;

use super::{Observer, Shared};
use crate::clock::{self, Instant};
use crate::collections::Set;
use crate::fleet::Document;
use crate::plans::{Calendar, Manager, Survey, Turn, View};
use crate::platform::{Action, Command, Error};
use crate::pools::{Lease, Order, Phase, State, Tenure};

/// Time between two turns of the instance that manages.
const TURN_EVERY: Duration = Duration::from_millis(500);

/// Term of the lease: a crashed manager is replaced within 4 s and one look of another.
const TERM: Duration = Duration::from_secs(4);

/// Time between two looks at the lease; at 136 instances this takes 102 reads a second.
const LEASE_EVERY: Duration = Duration::from_millis(1300);

/// Time between two looks at whether the configuration is still current.
const CHECK_EVERY: Duration = Duration::from_millis(20);

/// Time after which all orders are sent again; a drain holds for 30 s.
const ORDER_AGAIN: Duration = Duration::from_secs(5);

/// Shortest time between two writes of where the plans stand.
const SURVEY_EVERY: Duration = Duration::from_secs(1);

/// Time after which where the plans stand is written even if nothing but the clock has changed.
const SURVEY_AGAIN: Duration = Duration::from_secs(10);

/// Orders sent at once.
const ORDERS: usize = 16;

/// Runs the manager of pools and plans while this instance holds the lease.
///
/// No instance is special: all look at the lease, and what the manager needs is in the table.
pub(super) async fn manage(shared: Arc<Shared>) {
    let name = format!("{}/{}", shared.member.name, shared.member.incarnation);
    let mut state = Loop::new(&name);
    loop {
        let holds = state.renew(&shared).await;
        if let Some(tenure) = holds {
            let turn = state.turn(&shared, &tenure);
            tokio::select! {
                () = turn => {}
                () = stale(&shared) => {
                    // What the dropped turn wrote is in the rows, but not in its state. The lease
                    // stays, because a token must not get a second tenure.
                    log::warn!(event = "manager-stopped", reason = "stale-configuration"; "");
                    state.manager = Manager::default();
                }
            }
        }
        let period = match state.lease.tenure(clock::now()) {
            Some(_) => TURN_EVERY,
            None => LEASE_EVERY,
        };
        if shared.pause(period).await {
            break;
        }
    }
    if let Err(error) = state.lease.release(&*shared.platform.table).await {
        log::warn!(event = "lease-release-failed", error:% = error; "");
    }
}

/// Waits until the configuration is not known to be current any more.
async fn stale(shared: &Shared) {
    while shared.control.dispatcher().is_fresh(clock::now()) {
        tokio::time::sleep(CHECK_EVERY).await;
    }
}

/// What the task keeps between turns.
struct Loop {
    lease: Lease,
    /// When the lease was last looked at.
    looked: Option<Instant>,
    manager: Manager,
    token: u64,
    /// Orders that the platform has accepted, since `sent_since`.
    sent: Set<Command>,
    sent_since: Instant,
    /// Survey that was last written, and when.
    survey: Option<(Survey, Instant)>,
}

impl Loop {
    fn new(name: &str) -> Self {
        Self {
            lease: Lease::new(name).with_term(TERM),
            looked: None,
            manager: Manager::default(),
            token: 0,
            sent: Set::default(),
            sent_since: Instant::default(),
            survey: None,
        }
    }

    /// Looks at the lease when it is time; returns the tenure while the lease holds.
    async fn renew(&mut self, shared: &Shared) -> Option<Tenure> {
        let now = clock::now();
        if !shared.control.dispatcher().is_fresh(now) || !shared.has_roster() {
            return None;
        }
        if self.looked.is_none_or(|at| now.since(at) >= LEASE_EVERY) {
            self.looked = Some(now);
            if let Err(error) = self.lease.turn(now, &*shared.platform.table).await {
                log::warn!(event = "lease-not-renewed", error:% = error; "");
            }
        }
        let tenure = self.lease.tenure(clock::now())?;
        if tenure.token() != self.token {
            self.token = tenure.token();
            log::info!(event = "manager-started", token = self.token; "");
        }
        Some(tenure)
    }

    /// Takes one turn and sends the orders that follow from it.
    async fn turn(&mut self, shared: &Shared, tenure: &Tenure) {
        let now = clock::now();
        let Some(current) = shared.control.current() else {
            return;
        };
        let Some(document) = current.document() else {
            return;
        };
        let document = &Arc::new(leave_out_job_pools(document));
        let observer = Observer::new(shared, now);
        let calendar = Calendar::new(now, unix());
        let view = View {
            tenure,
            calendar: &calendar,
            document,
            listing: &observer.listing(),
            sight: &|instance| observer.sight(instance),
        };
        let turn = self.manager.turn(now, &*shared.platform.table, view).await;
        match turn {
            Ok(Turn::Complete) => {
                self.hasten(shared);
                self.order(shared).await;
                self.publish(shared, now, &calendar).await;
            }
            Ok(turn) => log::info!(event = "manager-turn", end:? = turn; ""),
            Err(error) => log::warn!(event = "manager-turn-failed", error:% = error; ""),
        }
    }

    /// Has the rows read at once that an instance's drain waits for.
    fn hasten(&self, shared: &Shared) {
        let roster = shared.control.dispatcher().roster();
        let (_, members_at) = shared.scanned_members();
        let Some(state) = self.manager.state() else {
            return;
        };
        for (_, instance) in state.instances() {
            let known = roster.get(&instance.name);
            if known.is_none_or(|known| known.version != instance.version) {
                shared.roster_wanted.notify_one();
            } else if instance.phase == Phase::Draining
                && known.is_some_and(|known| known.since > members_at)
            {
                shared.members_wanted.notify_one();
            }
        }
    }

    /// Writes where the plans stand, when that has changed and now and then.
    async fn publish(&mut self, shared: &Shared, now: Instant, calendar: &Calendar) {
        let Some(survey) = Survey::of(&self.manager, now, calendar) else {
            return;
        };
        let same = |old: &Survey| old.token == survey.token && old.is_like(&survey);
        let kept = self.survey.as_ref().is_some_and(|(old, at)| {
            now.since(*at) < SURVEY_EVERY || (same(old) && now.since(*at) < SURVEY_AGAIN)
        });
        if kept {
            return;
        }
        match shared.platform.table.transact(vec![survey.write()]).await {
            Ok(_) => self.survey = Some((survey, now)),
            Err(error) => log::warn!(event = "survey-not-written", error:% = error; ""),
        }
    }

    /// Sends the orders that the platform has not accepted yet, and all now and then.
    async fn order(&mut self, shared: &Shared) {
        let now = clock::now();
        let orders: Vec<Command> = match self.manager.state() {
            Some(state) => commands(state).collect(),
            None => return,
        };
        if now.since(self.sent_since) >= ORDER_AGAIN {
            self.sent.clear();
            self.sent_since = now;
        }
        self.sent.retain(|command| orders.contains(command));
        let new = orders.into_iter().filter(|c| !self.sent.contains(c));
        let machines = &shared.platform.machines;
        let answers = stream::iter(new.map(|command| async move {
            let answer = machines.order(command.clone()).await;
            (command, answer)
        }));
        let answers: Vec<(Command, Result<(), Error>)> =
            answers.buffer_unordered(ORDERS).collect().await;
        for (command, answer) in answers {
            match answer {
                Ok(()) => drop(self.sent.insert(command)),
                Err(error) => log::warn!(event = "order-failed",
                    instance:% = command.instance, error:% = error; ""),
            }
        }
    }
}

/// Turns orders into commands; an instance that has moved serves by its row alone.
fn commands(state: &State) -> impl Iterator<Item = Command> {
    state.orders().filter_map(|order| {
        let (id, token, action) = match order {
            Order::Drain { instance, token } => (instance, token, Action::Drain),
            Order::Reboot {
                instance,
                incarnation,
                token,
            } => (instance, token, Action::Reboot(incarnation)),
            Order::Admit { .. } => return None,
        };
        Some(Command {
            instance: state.instance(id).name.clone(),
            token,
            action,
        })
    })
}

/// Leaves out the plans of pools whose instances run jobs: a drain would wait for ever, because
/// tasks are not counted in the reports that prove an instance idle.
fn leave_out_job_pools(document: &Document) -> Document {
    let mut document = document.clone();
    let queues = std::mem::take(&mut document.queues);
    document
        .plans
        .retain(|plan| queues.iter().all(|queue| queue.pool != plan.pool));
    document.queues = queues;
    document
}

fn unix() -> u64 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH);
    time.unwrap_or_default().as_secs()
}
