use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use futures_util::StreamExt;
use futures_util::stream;

use super::{Observer, Shared};
use crate::clock::{self, Instant};
use crate::collections::Set;
use crate::fleet::Document;
use crate::plans::{Calendar, Input, Manager, Overview, Turn};
use crate::platform::{Action, Command, Error};
use crate::pools::{Lease, Phase, Request, State, Tenure};

/// Time between two turns of the instance that holds the manager lease.
const TURN_INTERVAL: Duration = Duration::from_millis(500);

/// Term of the lease: a crashed manager is replaced within 4 s plus one [`LEASE_READ_INTERVAL`].
const LEASE_TERM: Duration = Duration::from_secs(4);

/// Time between two reads of the lease; with 136 instances this takes 102 reads a second in total.
const LEASE_READ_INTERVAL: Duration = Duration::from_millis(1300);

/// Time between two checks of whether the configuration is still current.
const FRESHNESS_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Time after which all orders are sent again; the platform keeps a drain for 30 s.
const RESEND_INTERVAL: Duration = Duration::from_secs(5);

/// Minimum time between two writes of the progress of the plans.
const MIN_SURVEY_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which the progress of the plans is written even if only times have changed in it.
const MAX_SURVEY_INTERVAL: Duration = Duration::from_secs(10);

/// Maximum number of orders in flight.
const MAX_CONCURRENT_ORDERS: usize = 16;

/// Runs the manager of pools and plans while this instance holds the lease.
///
/// Any instance can manage: all of them compete for the lease, and a new manager reads all that it
/// needs from the table.
pub(super) async fn manage(shared: Arc<Shared>) {
    let name = format!("{}/{}", shared.member.name, shared.member.incarnation);
    let mut driver = Driver::new(&name);
    loop {
        let renewed = driver.renew_lease(&shared).await;
        if let Some(tenure) = renewed {
            let turn = driver.take_turn(&shared, &tenure);
            tokio::select! {
                () = turn => {}
                () = until_stale(&shared) => {
                    // The dropped turn may have written rows that the manager's state lacks, so the
                    // state is discarded. The lease is kept, because one token must not be used by
                    // two tenures.
                    log::warn!(event = "manager-stopped", reason = "stale-configuration"; "");
                    driver.manager = Manager::default();
                }
            }
        }
        let period = match driver.lease.tenure(clock::now()) {
            Some(_) => TURN_INTERVAL,
            None => LEASE_READ_INTERVAL,
        };
        if shared.pause(period).await {
            break;
        }
    }
    if let Err(error) = driver.lease.release(&*shared.platform.table).await {
        log::warn!(event = "lease-release-failed", error:% = error; "");
    }
}

/// Waits until the configuration is no longer known to be current.
async fn until_stale(shared: &Shared) {
    while shared.control.dispatcher().is_fresh(clock::now()) {
        tokio::time::sleep(FRESHNESS_CHECK_INTERVAL).await;
    }
}

/// State of the task between turns.
struct Driver {
    lease: Lease,
    /// Time of the last read of the lease.
    lease_read_at: Option<Instant>,
    manager: Manager,
    token: u64,
    /// Commands that the platform has accepted since `accepted_since`.
    accepted: Set<Command>,
    accepted_since: Instant,
    /// Last survey that was written, and its time.
    survey: Option<(Overview, Instant)>,
}

impl Driver {
    fn new(name: &str) -> Self {
        Self {
            lease: Lease::new(name).with_term(LEASE_TERM),
            lease_read_at: None,
            manager: Manager::default(),
            token: 0,
            accepted: Set::default(),
            accepted_since: Instant::default(),
            survey: None,
        }
    }

    /// Acquires or renews the lease when that is due; returns the tenure while the lease is held.
    async fn renew_lease(&mut self, shared: &Shared) -> Option<Tenure> {
        let now = clock::now();
        if !shared.control.dispatcher().is_fresh(now) || !shared.has_roster() {
            return None;
        }
        if self
            .lease_read_at
            .is_none_or(|at| now.since(at) >= LEASE_READ_INTERVAL)
        {
            self.lease_read_at = Some(now);
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
    async fn take_turn(&mut self, shared: &Shared, tenure: &Tenure) {
        let now = clock::now();
        let Some(current) = shared.control.current() else {
            return;
        };
        let Some(document) = current.document() else {
            return;
        };
        let document = &Arc::new(without_job_plans(document));
        let observer = Observer::new(shared, now);
        let calendar = Calendar::new(now, unix_seconds());
        let view = Input {
            tenure,
            calendar: &calendar,
            document,
            listing: &observer.listing(),
            sight: &|instance| observer.observe(instance),
        };
        let turn = self
            .manager
            .reconcile(now, &*shared.platform.table, view)
            .await;
        match turn {
            Ok(Turn::Complete) => {
                self.request_reads(shared);
                self.send_orders(shared).await;
                self.publish_survey(shared, now, &calendar).await;
            }
            Ok(turn) => log::info!(event = "manager-turn", end:? = turn; ""),
            Err(error) => log::warn!(event = "manager-turn-failed", error:% = error; ""),
        }
    }

    /// Requests an early read of the assignments or the members when the proof that an instance is
    /// idle needs newer rows.
    fn request_reads(&self, shared: &Shared) {
        let roster = shared.control.dispatcher().roster();
        let (_, members_roster_version) = shared.scanned_members();
        let Some(state) = self.manager.state() else {
            return;
        };
        for (_, instance) in state.instances() {
            let known = roster.get(&instance.name);
            if known.is_none_or(|known| known.version != instance.version) {
                shared.roster_wanted.notify_one();
            } else if instance.phase == Phase::Draining
                && known.is_some_and(|known| known.since > members_roster_version)
            {
                shared.members_wanted.notify_one();
            }
        }
    }

    /// Writes the progress of the plans when it has changed, and otherwise every
    /// [`MAX_SURVEY_INTERVAL`].
    async fn publish_survey(&mut self, shared: &Shared, now: Instant, calendar: &Calendar) {
        let Some(survey) = Overview::of(&self.manager, now, calendar) else {
            return;
        };
        let same = |old: &Overview| old.token == survey.token && old.has_same_plans(&survey);
        let skip = self.survey.as_ref().is_some_and(|(old, at)| {
            now.since(*at) < MIN_SURVEY_INTERVAL
                || (same(old) && now.since(*at) < MAX_SURVEY_INTERVAL)
        });
        if skip {
            return;
        }
        match shared.platform.table.transact(vec![survey.write()]).await {
            Ok(_) => self.survey = Some((survey, now)),
            Err(error) => log::warn!(event = "survey-not-written", error:% = error; ""),
        }
    }

    /// Sends the orders that the platform has not accepted yet, and all of them every
    /// [`RESEND_INTERVAL`].
    async fn send_orders(&mut self, shared: &Shared) {
        let now = clock::now();
        let orders: Vec<Command> = match self.manager.state() {
            Some(state) => to_commands(state).collect(),
            None => return,
        };
        if now.since(self.accepted_since) >= RESEND_INTERVAL {
            self.accepted.clear();
            self.accepted_since = now;
        }
        self.accepted.retain(|command| orders.contains(command));
        let new = orders.into_iter().filter(|c| !self.accepted.contains(c));
        let machines = &shared.platform.machines;
        let answers = stream::iter(new.map(|command| async move {
            let answer = machines.order(command.clone()).await;
            (command, answer)
        }));
        let answers: Vec<(Command, Result<(), Error>)> = answers
            .buffer_unordered(MAX_CONCURRENT_ORDERS)
            .collect()
            .await;
        for (command, answer) in answers {
            match answer {
                Ok(()) => drop(self.accepted.insert(command)),
                Err(error) => log::warn!(event = "order-failed",
                    instance:% = command.instance, error:% = error; ""),
            }
        }
    }
}

/// Converts the orders into commands to the platform.
///
/// Admitting an instance needs no command, because its assignment row alone admits it.
fn to_commands(state: &State) -> impl Iterator<Item = Command> {
    state.requests().filter_map(|order| {
        let (id, token, action) = match order {
            Request::Drain { instance, token } => (instance, token, Action::Drain),
            Request::Reboot {
                instance,
                incarnation,
                token,
            } => (instance, token, Action::Reboot(incarnation)),
            Request::Admit { .. } => return None,
        };
        Some(Command {
            instance: state.instance(id).name.clone(),
            token,
            action,
        })
    })
}

/// Returns the document without the plans of pools whose instances run jobs.
///
/// A drain of such an instance would never end, because the reports that prove an instance idle do
/// not count tasks.
fn without_job_plans(document: &Document) -> Document {
    let mut document = document.clone();
    let queues = std::mem::take(&mut document.queues);
    document
        .plans
        .retain(|plan| queues.iter().all(|queue| queue.pool != plan.pool));
    document.queues = queues;
    document
}

fn unix_seconds() -> u64 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH);
    time.unwrap_or_default().as_secs()
}
