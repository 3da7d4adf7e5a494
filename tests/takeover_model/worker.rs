use std::sync::Arc;
use std::time::Duration;

use coriandernotch::batch::{End, Ended, Launch, Reply, Running, Snapshot, TaskId};
use coriandernotch::clock::Instant;
use coriandernotch::collections::Map;

use crate::audit::Audit;
use crate::worker_call::WorkerCall;

/// Longest lease that a worker grants, in milliseconds.
const MAX_LEASE_MS: u64 = 6_000;

/// Number of runs that a worker has room for.
const ROOM: usize = 8;

/// Number of ends in one answer to a poll, so small that some answers leave ends out.
const MAX_LISTED_ENDS: usize = 1;

/// A run that is present on a worker.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) task: TaskId,
    pub(crate) number: u64,
    started: Instant,
    /// Time that the task runs; `None` if it is lasting.
    duration: Option<Duration>,
}

impl Run {
    /// Returns the progress that the worker shows. A lasting task works at full speed.
    fn percent(&self, now: Instant) -> u64 {
        self.duration.map_or(100, |duration| {
            (now.since(self.started).as_millis() * 97 / duration.as_millis()) as u64
        })
    }
}

/// An end that is listed until it is acknowledged.
#[derive(Clone, Debug)]
struct ListedEnd {
    ended: Ended,
    /// Number of starts of the task up to the end, as the audit counts them.
    starts: u64,
    /// Number of leases that had expired before the end.
    lapses: u64,
}

/// A worker process, which enforces leases and fencing tokens by itself.
#[derive(Debug)]
pub(crate) struct Worker {
    /// Index of its address, the same for all processes there.
    pub(crate) address: usize,
    pub(crate) id: Arc<str>,
    pub(crate) born_ms: u64,
    /// Whether the process runs; calls to the address are refused otherwise.
    pub(crate) up: bool,
    /// Whether calls to the process get no answer while it does not run.
    pub(crate) silent: bool,
    /// Whether that held for the process before it, so that nobody knows of its end.
    pub(crate) began_silently: bool,
    /// Time until which the store does not list it.
    pub(crate) unlisted_until: Instant,
    /// If the worker is lost for good, the time until which the platform lists its machine.
    pub(crate) machine_listed_until: Option<Instant>,
    started: Instant,
    /// Speed of its clock in percent.
    clock_percent: u32,
    fence: u64,
    deadline_ms: u64,
    lapses: u64,
    running: Vec<Run>,
    ended: Vec<ListedEnd>,
    position: u64,
    /// Polls that are held back until there is an end to list, with their numbers.
    held: Vec<(u64, WorkerCall)>,
    poll_count: u64,
    /// For each task the highest number of a run that was stopped or has ended here.
    rejected: Map<TaskId, u64>,
}

impl Worker {
    pub(crate) fn new(address: usize, id: &str, born_ms: u64, slow: bool, now: Instant) -> Self {
        Self {
            address,
            id: id.into(),
            born_ms,
            up: true,
            silent: false,
            began_silently: false,
            unlisted_until: Instant::default(),
            machine_listed_until: None,
            started: now,
            clock_percent: if slow { 98 } else { 100 },
            fence: 0,
            deadline_ms: 0,
            lapses: 0,
            running: Vec::new(),
            ended: Vec::new(),
            position: 0,
            held: Vec::new(),
            poll_count: 0,
            rejected: Map::default(),
        }
    }

    /// Returns the clock of the process in milliseconds.
    pub(crate) fn clock_ms(&self, now: Instant) -> u64 {
        let elapsed = now.since(self.started) * self.clock_percent / 100;
        1_000 + elapsed.as_millis() as u64
    }

    /// Returns whether this process has started since a connection was opened, which therefore leads
    /// to none.
    pub(crate) fn has_replaced(&self, opened_at: Instant) -> bool {
        self.started > opened_at
    }

    /// Returns whether those at the other end know that a connection no longer leads to a process.
    pub(crate) fn has_closed(&self, opened_at: Instant) -> bool {
        if self.up {
            self.has_replaced(opened_at) && !self.began_silently
        } else {
            !self.silent
        }
    }

    /// Returns when the lease expires.
    pub(crate) fn lease_expiry(&self, now: Instant) -> Instant {
        let left_ms = self.deadline_ms.saturating_sub(self.clock_ms(now)) + 1;
        now + Duration::from_millis(left_ms) * 100 / self.clock_percent
    }

    /// Records the fencing token of a call. Returns whether it is the newest.
    pub(crate) fn accepts(&mut self, token: u64) -> bool {
        self.fence = self.fence.max(token);
        self.fence == token
    }

    /// Extends the lease up to a deadline.
    pub(crate) fn extend_lease(&mut self, deadline_ms: u64, now: Instant) {
        let limit = self.clock_ms(now) + MAX_LEASE_MS;
        self.deadline_ms = self.deadline_ms.max(deadline_ms.min(limit));
    }

    /// Ends all runs if the lease has expired.
    pub(crate) fn enforce_lease(&mut self, now: Instant, audit: &mut Audit) {
        if self.clock_ms(now) < self.deadline_ms {
            return;
        }
        self.lapses += 1;
        for run in std::mem::take(&mut self.running) {
            self.list_end(&run, End::Lapsed, now, audit);
        }
    }

    /// Carries out a start. Returns its outcome and whether there is a new run.
    pub(crate) fn start(
        &mut self,
        launch: &Launch,
        deadline_ms: u64,
        duration: Option<Duration>,
        now: Instant,
    ) -> (Reply, bool) {
        if self.clock_ms(now) >= deadline_ms {
            return (Reply::Late, false);
        }
        self.extend_lease(deadline_ms, now);
        let is_same = |run: &Run| run.task == launch.task && run.number == launch.number;
        if self.running.iter().any(is_same) {
            return (Reply::Started, false);
        }
        let rejected = self.rejected.get(&launch.task);
        if rejected.is_some_and(|number| launch.number <= *number) {
            return (Reply::Stale, false);
        }
        if self.running.len() >= ROOM {
            return (Reply::Full, false);
        }
        self.running.push(Run {
            task: launch.task.clone(),
            number: launch.number,
            started: now,
            duration,
        });
        (Reply::Started, true)
    }

    /// Ends a run if it is present.
    pub(crate) fn end_run(
        &mut self,
        task: &TaskId,
        number: u64,
        how: End,
        now: Instant,
        audit: &mut Audit,
    ) {
        let is_same = |run: &mut Run| run.task == *task && run.number == number;
        let runs: Vec<Run> = self.running.extract_if(.., is_same).collect();
        for run in runs {
            self.list_end(&run, how, now, audit);
        }
    }

    fn list_end(&mut self, run: &Run, how: End, now: Instant, audit: &mut Audit) {
        self.position += 1;
        self.reject(&run.task, run.number);
        self.ended.push(ListedEnd {
            ended: Ended {
                position: self.position,
                task: run.task.clone(),
                number: run.number,
                how,
                saved: "".into(),
            },
            starts: audit.record_end(self.address, &run.task, run.number, now),
            lapses: self.lapses,
        });
    }

    /// Rejects a run and those with lower numbers from now on.
    pub(crate) fn reject(&mut self, task: &TaskId, number: u64) {
        let highest = self.rejected.entry(task.clone()).or_default();
        *highest = number.max(*highest);
    }

    /// Forgets acknowledged ends. An end counts unless a lease has expired since.
    pub(crate) fn acknowledge(&mut self, position: u64, audit: &mut Audit) {
        let is_acknowledged = |end: &mut ListedEnd| end.ended.position <= position;
        for end in self.ended.extract_if(.., is_acknowledged) {
            if end.lapses == self.lapses {
                let ended = &end.ended;
                audit.record_acknowledgement(&ended.task, ended.number, ended.how, end.starts);
            }
        }
    }

    /// Returns whether the process has ended for good and its address is silent.
    pub(crate) fn is_lost(&self) -> bool {
        self.machine_listed_until.is_some()
    }

    /// Returns whether the platform lists the machine of the worker.
    pub(crate) fn has_listed_machine(&self, now: Instant) -> bool {
        self.machine_listed_until.is_none_or(|until| now < until)
    }

    /// Returns the number of runs that can be started on the worker.
    pub(crate) fn free_room(&self, now: Instant) -> usize {
        if self.up && self.unlisted_until <= now {
            ROOM - self.running.len()
        } else {
            0
        }
    }

    pub(crate) fn lists_ends(&self) -> bool {
        !self.ended.is_empty()
    }

    /// Ends the process, with all that it holds.
    pub(crate) fn crash(&mut self, now: Instant, audit: &mut Audit) {
        self.up = false;
        for run in std::mem::take(&mut self.running) {
            audit.record_end(self.address, &run.task, run.number, now);
        }
    }

    /// Holds back a poll and returns its number.
    pub(crate) fn hold(&mut self, call: WorkerCall) -> u64 {
        self.poll_count += 1;
        self.held.push((self.poll_count, call));
        self.poll_count
    }

    /// Returns the poll with a number if it is still held back.
    pub(crate) fn release(&mut self, poll: u64) -> Option<WorkerCall> {
        let position = self.held.iter().position(|(held, _)| *held == poll)?;
        Some(self.held.remove(position).1)
    }

    pub(crate) fn release_all(&mut self) -> Vec<WorkerCall> {
        self.held.drain(..).map(|(_, call)| call).collect()
    }

    pub(crate) fn snapshot(&self, now: Instant) -> Snapshot {
        let running = self.running.iter().map(|run| Running {
            task: run.task.clone(),
            number: run.number,
            saved: "".into(),
            percent: run.percent(now),
            load: 0,
        });
        let listed = self.ended.iter().take(MAX_LISTED_ENDS);
        Snapshot {
            clock_ms: self.clock_ms(now),
            born_ms: self.born_ms,
            running: running.collect(),
            has_more_ends: self.ended.len() > MAX_LISTED_ENDS,
            ended: listed.map(|end| end.ended.clone()).collect(),
        }
    }
}
