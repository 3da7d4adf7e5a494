use std::collections::BTreeMap;
use std::time::Duration;

use coriandernotch::clock::Instant;
use coriandernotch::job_store::{Acceptance, Answer};

use super::event::Event;
use super::instance::{Instance, Steps};
use super::load::{INSTANCES, SLOW_FROM, SLOW_TO, arrivals, id_and_instance, start};
use super::previous::Previous;
use super::result::Tally;
use super::store::{Outcome, Store, Trouble};

/// Time for which callers wait, and after which the instance replies at the latest.
const CALLER_WAIT: Duration = Duration::from_millis(3_000);
const REPLY_WAIT: Duration = Duration::from_millis(2_880);

/// Instances, their store and what happens next.
#[derive(Debug)]
pub(super) struct World {
    instances: Vec<Instance>,
    store: Store,
    /// Events by time and number.
    events: BTreeMap<(Instant, u64), (usize, Event)>,
    event_count: u64,
    /// Jobs that conflicts have shown as stored, by instance and call.
    conflicts: BTreeMap<(usize, u64), Vec<usize>>,
    arrivals: Vec<Instant>,
    replies: BTreeMap<usize, (Instant, Acceptance)>,
}

impl World {
    pub(super) fn new(is_present: bool) -> Self {
        let instance = || match is_present {
            true => Instance::Present(Box::default()),
            false => Instance::Previous(Previous::default()),
        };
        Self {
            instances: (0..INSTANCES).map(|_| instance()).collect(),
            store: Store::new(),
            events: BTreeMap::new(),
            event_count: 0,
            conflicts: BTreeMap::new(),
            arrivals: arrivals(),
            replies: BTreeMap::new(),
        }
    }

    pub(super) fn end_slowness(&mut self) {
        self.store.trouble = Trouble::None;
    }

    pub(super) fn silence(&mut self) {
        self.store.trouble = Trouble::Silent;
    }

    fn add(&mut self, at: Instant, instance: usize, event: Event) {
        self.event_count += 1;
        self.events
            .insert((at, self.event_count), (instance, event));
    }

    /// Replays the whole load.
    pub(super) fn run(mut self) -> Tally {
        for (job, at) in self.arrivals.clone().into_iter().enumerate() {
            self.add(at, id_and_instance(job).1, Event::Submit(job));
        }
        while let Some(((now, _), (instance, event))) = self.events.pop_first() {
            let entry = &mut self.instances[instance];
            let steps = match event {
                Event::Submit(job) => {
                    let (id, _) = id_and_instance(job);
                    entry.submit(job, &id, now + REPLY_WAIT, now)
                }
                Event::Wake => entry.wake(now),
                Event::Answer(call, answer) => {
                    let stored = self.conflicts.remove(&(instance, call)).unwrap_or_default();
                    entry.record(call, &answer, &stored, now)
                }
            };
            self.follow(instance, steps, now);
        }
        self.tally()
    }

    fn follow(&mut self, instance: usize, steps: Steps, now: Instant) {
        for (job, acceptance) in steps.replies {
            self.replies.entry(job).or_insert((now, acceptance));
        }
        for call in steps.calls {
            let (outcome, answered) = self.store.call(call.partition, &call.jobs, now);
            let timeout = now + call.timeout;
            let (at, answer) = match (outcome, answered.filter(|at| *at <= timeout)) {
                (_, None) => (timeout, Answer::Unknown),
                (Outcome::Applied, Some(at)) => (at, Answer::Applied),
                (Outcome::Refused, Some(at)) => (at, Answer::Busy),
                (Outcome::Conflict(jobs), Some(at)) => {
                    self.conflicts.insert((instance, call.number), jobs);
                    let (stored, cancelled) = (Vec::new(), Vec::new());
                    (at, Answer::Conflict { stored, cancelled })
                }
            };
            self.add(at, instance, Event::Answer(call.number, answer));
        }
        if let Some(at) = steps.wake_at {
            self.add(
                at.max(now + Duration::from_millis(1)),
                instance,
                Event::Wake,
            );
        }
    }

    fn tally(&self) -> Tally {
        let mut tally = Tally::default();
        let span = start() + SLOW_FROM..start() + SLOW_TO;
        for (job, at) in self.arrivals.iter().enumerate() {
            if !span.contains(at) {
                continue;
            }
            tally.asked += 1;
            let reply = self.replies.get(&job);
            tally.unanswered += usize::from(reply.is_none());
            let in_time = reply.filter(|(replied, _)| replied.since(*at) <= CALLER_WAIT);
            let is_stored = self.store.stored.contains_key(&job);
            match in_time {
                Some((replied, Acceptance::Stored)) => {
                    tally.stored += 1;
                    tally.slowest = tally.slowest.max(replied.since(*at));
                }
                Some((_, Acceptance::Refused)) => {
                    tally.refused += 1;
                    tally.untrue += usize::from(is_stored);
                }
                _ => tally.unknown += 1,
            }
        }
        tally
    }
}
