//! Checks of the rules on what the stand-in workers recorded of jobs.

use std::sync::Arc;

use super::{Bed, Rule, Tally};
use crate::clock::{self, Instant};
use crate::collections::Map;
use crate::jobs::Record;
use crate::standin::worker::{Run, Status};

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

/// Checks that no job ran twice at once, or again after it succeeded, and that no team had more
/// jobs running than its limit. Jobs count against the limit together with `others`: starts and
/// ends of the calls of each team.
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
        let team = edges.entry(record.team).or_default();
        for (_, run) in &runs {
            team.push((run.start, 1));
            team.extend(run.end.map(|end| (end, -1)));
        }
    }
    for team in &bed.document.teams {
        let mut running = 0;
        let mut own = edges.remove(&team.name).unwrap_or_default();
        // At the same instant an end comes before a start.
        own.sort();
        for (_, step) in own {
            running += step;
            if step > 0 {
                tally.check(Rule::Limit, running <= i64::from(team.limit), || {
                    format!("team={} running={running} limit={}", team.name, team.limit)
                });
            }
        }
    }
}
