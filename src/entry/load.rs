use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::future::{join_all, join5};
use futures_util::stream;
use tokio::task::yield_now;
use tokio::time::sleep;

use super::job_row;
use super::row::{self, ESTIMATES, ESTIMATES_KEY, JOBS, MEMBERS, OWNER_KEY, PROGRESS, TERMS};
use super::shared::{STORE_TIMEOUT, Shared, unix_time_ms};
use super::term::Term;
use crate::batch::estimate::Estimates;
use crate::batch::{Engine, Fence, Leader, Leadership, Progress, Tuning};
use crate::clock::{self, Instant};
use crate::collections::{Map, Set};
use crate::job_store::{Deletions, Partition, ReadTimeout};
use crate::platform::api::{
    Fault, Outcome, Precondition, Row, Store, Transaction, decode_registration,
};

/// Delay after a call that failed.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Maximum number of partitions of jobs that are read at the same time. All of them then take six
/// times the duration of a call. More answers at once may together exceed the timeout of a call on a
/// link of 10 Mbit/s, and would all be read again.
const MAX_CONCURRENT_READS: usize = 48;

/// Number of rows that are decoded before other work of the process, such as renewals, gets a turn.
pub(super) const ROWS_PER_TURN: usize = 200;

/// Maximum number of rows that one transaction deletes besides its condition.
const MAX_DELETED_ROWS: usize = 98;

/// Fences the partitions, reads all jobs and workers and returns the new term. `None` if a newer
/// leader has fenced a partition or no configuration is known.
///
/// Each call is repeated until it succeeds, so callers limit the time.
pub(super) async fn load(
    shared: &Shared,
    leader: &Leader,
    leadership: Leadership,
    resigned: bool,
    begun: Instant,
) -> Option<Term> {
    let desired = shared.desired.lock().expect("desired lock").clone();
    let config = desired.config()?;
    let mut engine = Engine::new(tuning(shared), leader.token, config);
    engine.record_renewal(leadership.last_renewal());
    engine.set_excluded_data_centres(desired.excluded());
    let fences = Partition::all_of_progress().map(|partition| {
        let name = partition.name();
        async move { retry(|| fence(shared, &name, leader.token)).await }
    });
    // From here on no progress is written: older leaders cannot, and this one has not begun. So each
    // job whose progress is read is stored, unless it has been deleted.
    let fences: Option<Vec<u64>> = join_all(fences).await.into_iter().collect();
    let fences = fences?;
    let timeout = &Mutex::new(ReadTimeout::new(STORE_TIMEOUT));
    let progress = Partition::all_of_progress().map(|partition| {
        let name = partition.name();
        async move { read(shared, PROGRESS, &name, timeout).await.0 }
    });
    let jobs = read_all_jobs(shared);
    let workers = read(shared, Store::WORKERS, "", timeout);
    let members = read(shared, MEMBERS, "", timeout);
    let estimates = read_estimates(shared, timeout);
    let reads = join5(join_all(progress), jobs, workers, members, estimates);
    let (progress, jobs, (rows, _), (members, _), estimates) = reads.await;
    let mut deletions = Deletions::new(tuning(shared).retention);
    let version = jobs.iter().map(|jobs| jobs.version).min();
    load_jobs(&mut engine, &mut deletions, &jobs, &progress).await;
    delete_orphans(shared, &fences, &jobs, &progress).await;
    let profiles = rows
        .iter()
        .filter_map(|row| decode_registration(&row.key, row.content.as_ref()?).ok());
    engine.set_workers(profiles.collect());
    let members = members.iter();
    let members = members.filter_map(|row| row::decode(&row.key, row.content.as_ref()?));
    engine.restore_members(members.collect());
    engine.set_waves(desired.waves());
    engine.restore_maintained(&leader.maintained);
    engine.restore_lent_machines(&leader.homes);
    engine.restore_queue_services(leader.queue_services.clone());
    if let Some(estimates) = estimates {
        engine.restore_estimates(&estimates);
    }
    if leader.token > 1 {
        engine.inherit(&leader.busy, resigned, begun);
    }
    log::info!(event = "state-loaded", token = leader.token, workers = rows.len(),
        silent = leader.busy.len(), awaited = engine.uncontacted_count(), resigned,
        took_ms = clock::now().since(begun).as_millis(); "");
    let version = version.unwrap_or_default();
    Some(Term::new(engine, deletions, leadership, version))
}

fn tuning(shared: &Shared) -> Tuning {
    let bounds = &shared.settings.bounds;
    let from_ms = Duration::from_millis;
    Tuning {
        lease: from_ms(bounds.lease_ms),
        stop: from_ms(bounds.stop_ms),
        notice: from_ms(bounds.notice_ms),
        upkeep: Duration::from_secs_f64(bounds.upkeep_s.max(0.0)),
        relocation: Duration::from_secs_f64(bounds.move_s.max(0.0)),
        retention: Duration::from_secs(bounds.status_s),
        learn_estimates: shared.settings.learn_estimates,
        far_percent: (bounds.far_factor * 100.0).round() as u32,
        refuse_late_jobs: shared.settings.refuse_late_jobs,
        ..Tuning::default()
    }
}

/// Repeats a call until it succeeds. A store that is short of capacity refuses some calls of each
/// load, so repeating the others as well might never succeed.
async fn retry<T, F>(call: impl Fn() -> F) -> T
where
    F: Future<Output = Result<T, Fault>>,
{
    loop {
        match call().await {
            Ok(value) => return value,
            Err(fault) => log::warn!(event = "load-failed", fault:% = fault; ""),
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Reads the learned run times, if they are used. `None` if no leader has stored any, or if the row
/// is not readable: then declared run times hold until this leader has learned others.
async fn read_estimates(shared: &Shared, timeout: &Mutex<ReadTimeout>) -> Option<Estimates> {
    if !shared.settings.learn_estimates {
        return None;
    }
    let (rows, _) = read(shared, ESTIMATES, "", timeout).await;
    let row = rows.iter().find(|row| &*row.key == ESTIMATES_KEY)?;
    row::decode(ESTIMATES_KEY, row.content.as_ref()?)
}

/// Reads all rows of a partition of a table, and the version of the table before. Repeats the call
/// until it succeeds, at once if it got no answer.
async fn read(
    shared: &Shared,
    table: &str,
    partition: &str,
    timeout: &Mutex<ReadTimeout>,
) -> (Vec<Row>, u64) {
    let mut attempt = 0;
    loop {
        let limit = timeout.lock().expect("timeout lock").of(attempt);
        let sent = clock::now();
        match shared.store.read(table, partition, "", "", limit).await {
            Ok(rows) => {
                let took = clock::now().since(sent);
                timeout.lock().expect("timeout lock").record(took);
                return rows;
            }
            Err(fault) => {
                log::warn!(event = "load-failed", table, partition, attempt, fault:% = fault; "");
                if fault.had_no_effect() {
                    sleep(RETRY_DELAY).await;
                }
            }
        }
        attempt += 1;
    }
}

/// Writes the fencing token of this leader into a partition, so that writes of older leaders fail.
/// Returns the version of the fence row, or `None` if a newer leader has done so before.
async fn fence(shared: &Shared, partition: &str, token: u64) -> Result<Option<u64>, Fault> {
    let store = &shared.store;
    let (rows, _) = store.read(TERMS, partition, "", "", STORE_TIMEOUT).await?;
    let row = rows.iter().find(|r| &*r.key == OWNER_KEY);
    let (version, content) = row.map_or((0, None), |r| (r.version, r.content.as_ref()));
    let stored = content
        .and_then(|c| row::decode::<Fence>(OWNER_KEY, c))
        .unwrap_or_default();
    let Some(raised) = stored.raised(token) else {
        return Ok(None);
    };
    let transaction = Transaction {
        part: partition.to_owned(),
        expected: vec![Precondition {
            table: TERMS,
            key: OWNER_KEY.into(),
            version,
        }],
        puts: vec![(TERMS, OWNER_KEY.into(), row::encode(&raised))],
        deletes: Vec::new(),
    };
    match shared.store.transact(&transaction, STORE_TIMEOUT).await? {
        Outcome::Applied(version) => Ok(Some(version)),
        // A late write of the previous leader came first, so the fence row is read again.
        Outcome::Conflict(_) => Box::pin(fence(shared, partition, token)).await,
    }
}

/// Rows of the jobs of one partition.
pub(super) struct Jobs {
    partition: String,
    rows: Vec<Row>,
    /// Version of the store up to which all changes are included.
    pub(super) version: u64,
}

/// Reads the jobs of all partitions without their progress. Each read is repeated until it succeeds.
pub(super) async fn read_all_jobs(shared: &Shared) -> Vec<Jobs> {
    let timeout = &Mutex::new(ReadTimeout::new(STORE_TIMEOUT));
    stream::iter(Partition::all_of_jobs())
        .map(|partition| read_jobs(shared, partition, timeout))
        .buffer_unordered(MAX_CONCURRENT_READS)
        .collect()
        .await
}

/// Reads the jobs of a partition without their progress.
async fn read_jobs(shared: &Shared, partition: Partition, timeout: &Mutex<ReadTimeout>) -> Jobs {
    let partition = partition.name();
    let (rows, version) = read(shared, JOBS, &partition, timeout).await;
    Jobs {
        partition,
        rows,
        version,
    }
}

/// Returns the rows of jobs, each with its partition, cancellations after the jobs that they cancel.
pub(super) fn in_order(jobs: &[Jobs]) -> Vec<(&Row, &str)> {
    let rows = jobs.iter();
    let rows = rows.flat_map(|jobs| jobs.rows.iter().map(|row| (row, &*jobs.partition)));
    // A cancellation may be in another partition than its job.
    let is_cancellation = |(row, _): &(&Row, &str)| row::cancelled_job(&row.key).is_some();
    let (cancellations, mut ordered): (Vec<_>, Vec<_>) = rows.partition(is_cancellation);
    ordered.extend(cancellations);
    ordered
}

/// Passes jobs with their progress to the engine.
async fn load_jobs(
    engine: &mut Engine,
    deletions: &mut Deletions,
    jobs: &[Jobs],
    progress: &[Vec<Row>],
) {
    let progress: Map<&Arc<str>, &Row> = (progress.iter().flatten())
        .map(|row| (&row.key, row))
        .collect();
    for rows in in_order(jobs).chunks(ROWS_PER_TURN) {
        for (row, partition) in rows {
            let progress = progress.get(&row.key);
            let progress = progress.and_then(|row| row::decode(&row.key, row.content.as_ref()?));
            apply_job_row(engine, deletions, row, partition, progress);
        }
        yield_now().await;
    }
}

/// Deletes the progress of jobs that are not stored: the last leader has ended after it had deleted
/// the jobs. Without this, the progress would be taken for that of a later job of the same id.
async fn delete_orphans(shared: &Shared, fences: &[u64], jobs: &[Jobs], progress: &[Vec<Row>]) {
    let rows = jobs.iter().flat_map(|jobs| &jobs.rows);
    let stored: Set<&Arc<str>> = rows.map(|row| &row.key).collect();
    for ((partition, version), rows) in Partition::all_of_progress().zip(fences).zip(progress) {
        let orphans = rows.iter().filter(|row| !stored.contains(&row.key));
        let orphans: Vec<String> = orphans.map(|row| row.key.to_string()).collect();
        for keys in orphans.chunks(MAX_DELETED_ROWS) {
            let transaction = Transaction {
                part: partition.name(),
                expected: vec![Precondition {
                    table: TERMS,
                    key: OWNER_KEY.into(),
                    version: *version,
                }],
                puts: Vec::new(),
                deletes: keys.iter().map(|key| (PROGRESS, key.clone())).collect(),
            };
            let result = shared.store.transact(&transaction, STORE_TIMEOUT).await;
            // The next leader deletes what is left.
            log::info!(event = "progress-without-job-deleted", rows = keys.len(),
                applied = matches!(result, Ok(Outcome::Applied(_))); "");
        }
    }
}

/// Passes a row of the table of jobs to the engine: a job or a cancellation.
pub(super) fn apply_job_row(
    engine: &mut Engine,
    deletions: &mut Deletions,
    row: &Row,
    partition: &str,
    progress: Option<Progress>,
) {
    let Some(content) = &row.content else {
        return;
    };
    if let Some(job) = row::cancelled_job(&row.key) {
        let job = job.into();
        deletions.record_cancellation(&job, partition);
        engine.cancel_job(&job, unix_time_ms(), clock::now());
        return;
    }
    if let Some(record) = job_row::decode(&row.key, content) {
        if !record.spec.is_valid() {
            log::error!(event = "job-invalid", job = row.key; "");
            return;
        }
        deletions.record_row(&row.key, partition, row.version);
        let progress = progress.filter(|progress| {
            !(progress.state.is_final()
                && deletions.is_of_earlier_job(progress.ended_ms, record.arrived_ms))
        });
        engine.load_job(&row.key, record, progress, unix_time_ms(), clock::now());
    }
}
