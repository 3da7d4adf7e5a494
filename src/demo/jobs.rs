//! Checks of the rules on what the stand-in workers recorded of jobs.

use std::sync::Arc;
use std::time::Duration;

use super::bound::BOUND;
use super::script::Events;
use super::ticket::Ticket;
use super::work::Work;
use super::{Bed, Rule, Tally};
use crate::clock::{self, Instant};
use crate::collections::Map;
use crate::jobs::{Record, State};
use crate::standin::worker::{Run, Status};

/// Time within which urgent jobs should start.
const URGENT: Duration = Duration::from_millis(1_300);

/// Runs of one job, with the worker of each.
type Runs = Vec<(Arc<str>, Run)>;

/// Collects the runs of all workers by job, `{queue}.{id}`.
pub(super) fn collect(bed: &Bed) -> Map<String, Runs> {
    let mut jobs: Map<String, Runs> = Map::default();
    for (name, worker) in &bed.workers {
        for run in worker.machine().runs(clock::now()) {
            if let Some((job, _)) = run.id.rsplit_once('.') {
                jobs.entry(job.to_owned())
                    .or_default()
                    .push((name.clone(), run));
            }
        }
    }
    jobs
}

/// Reads the row of a job.
pub(super) fn read(bed: &Bed, job: &str) -> Option<Record> {
    let (queue, id) = job.rsplit_once('.')?;
    let row = bed.store.row(&Record::key(queue, id))?;
    serde_json::from_str(&row.value).ok()
}

/// Checks that no job ran twice at once, or again after it succeeded, and that no workspace had more
/// jobs running than its limit. Jobs count against the limit together with `others`: starts and
/// ends of the calls of each workspace.
pub fn check_jobs(bed: &Bed, tally: &Tally, others: &Map<Arc<str>, Vec<(Instant, i64)>>) {
    let mut edges = others.clone();
    for (job, mut runs) in collect(bed) {
        runs.sort_by_key(|(_, run)| run.start);
        for pair in runs.windows(2) {
            let (first, second) = (&pair[0].1, &pair[1].1);
            let apart = first.end.is_some_and(|end| end <= second.start);
            let done = first.status == Status::Succeeded;
            tally.check(Rule::AtMostOnce, apart && !done, || {
                format!("job={job} first={first:?} second={second:?}")
            });
        }
        tally.check(Rule::AtMostOnce, true, String::new);
        let Some(record) = read(bed, &job) else {
            tally.check(Rule::NotRun, false, || format!("job={job} row=none"));
            continue;
        };
        let workspace = edges.entry(record.workspace).or_default();
        for (_, run) in &runs {
            workspace.push((run.start, 1));
            workspace.extend(run.end.map(|end| (end, -1)));
        }
    }
    for workspace in &bed.document.workspaces {
        let mut running = 0;
        let mut own = edges.remove(&workspace.name).unwrap_or_default();
        // At the same instant an end comes before a start.
        own.sort();
        for (_, step) in own {
            running += step;
            if step > 0 {
                tally.check(Rule::Limit, running <= i64::from(workspace.limit), || {
                    format!(
                        "workspace={} running={running} limit={}",
                        workspace.name, workspace.limit
                    )
                });
            }
        }
    }
}

/// Checks that no job started in a data centre after `from` and before `to`.
pub(super) fn check_data_centre(bed: &Bed, tally: &Tally, name: &str, from: Instant, to: Instant) {
    let instances = bed.instances.lock().expect("instances lock").clone();
    let inside = |worker: &str| {
        let found = instances.iter().find(|i| *i.name == *worker);
        found.is_some_and(|i| *i.data_centre == *name)
    };
    for (job, runs) in collect(bed) {
        for (worker, run) in runs.iter().filter(|(_, r)| r.start > from && r.start < to) {
            tally.check(Rule::DataCentre, !inside(worker), || {
                format!(
                    "job={job} worker={worker} after={:?}",
                    run.start.since(from)
                )
            });
        }
    }
}

/// Checks what callers were told of their jobs. Returns what became of them.
pub(super) fn check_tickets(bed: &Bed, tally: &Tally, tickets: &[Ticket], events: &Events) -> Work {
    let runs = collect(bed);
    let mut work = Work::default();
    for ticket in tickets {
        if let Some((_, at)) = events
            .withdrawn
            .as_ref()
            .filter(|(workspace, _)| *workspace == ticket.workspace)
            && ticket.sent.since(*at) > BOUND
        {
            let refused = ticket.accepted.is_none();
            tally.check(Rule::Key, refused, || format!("ticket={ticket:?}"));
        }
        let Some((id, at)) = &ticket.accepted else {
            work.refused += 1;
            continue;
        };
        work.accepted += 1;
        let record = read(bed, id);
        tally.check(Rule::Answer, record.is_some(), || {
            format!("job={id} row=none")
        });
        let state = record.map(|record| record.state);
        work.done += usize::from(state == Some(State::Succeeded));
        work.unfinished += usize::from(state.is_some_and(|state| !state.is_final()));
        let started = runs
            .get(id)
            .and_then(|runs| runs.iter().map(|(_, r)| r.start).min());
        if ticket.cancelled {
            tally.check(Rule::NotRun, started.is_none(), || format!("job={id}"));
        }
        if let Some(started) = started.filter(|_| ticket.urgent) {
            let wait = started.since(*at);
            if meets_outage(events, *at) {
                work.delayed = (work.delayed.0.max(wait), work.delayed.1 + 1);
            } else {
                work.urgent.push(wait);
            }
        }
    }
    work.urgent.sort();
    work
}

/// Returns whether a job accepted at `at` should have started in the outage of the store.
fn meets_outage(events: &Events, at: Instant) -> bool {
    let within = |(down, up): &(Instant, Instant)| at + URGENT > *down && at < *up;
    events.outage.as_ref().is_some_and(within)
}
