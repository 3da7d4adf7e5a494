use std::sync::Arc;
use std::time::Duration;

use futures_util::future::{join, join_all, join3};
use tokio::time::sleep;

use super::partition;
use super::row::{self, JOBS, MEMBERS, OWNER_KEY, PROGRESS, TERMS};
use super::shared::{STORE_TIMEOUT, Shared, unix_time_ms};
use super::term::Term;
use crate::batch::{Engine, Fence, Leader, Leadership, Progress, Record, Tuning};
use crate::clock::{self, Instant};
use crate::collections::Map;
use crate::platform::api::{
    Fault, Outcome, Precondition, Row, Store, Transaction, decode_registration,
};

/// Delay after a call that failed.
const RETRY_DELAY: Duration = Duration::from_millis(150);

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
    let loads = partition::all().map(|name| load_partition(shared, name, leader.token));
    let workers = retry(|| read(shared, Store::WORKERS, ""));
    let members = retry(|| read(shared, MEMBERS, ""));
    let reads = join3(join_all(loads), workers, members);
    let (partitions, (rows, _), (members, _)) = reads.await;
    let mut version = u64::MAX;
    for jobs in partitions {
        let jobs = jobs?;
        version = version.min(jobs.version);
        load_jobs(&mut engine, &jobs);
    }
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
    if leader.token > 1 {
        engine.inherit(&leader.busy, resigned, begun);
    }
    log::info!(event = "state-loaded", token = leader.token, workers = rows.len(),
        silent = leader.busy.len(), awaited = engine.uncontacted_count(), resigned,
        took_ms = clock::now().since(begun).as_millis(); "");
    Some(Term::new(engine, leadership, version))
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

/// Reads all rows of a partition of a table, and the version of the table before.
async fn read(shared: &Shared, table: &str, partition: &str) -> Result<(Vec<Row>, u64), Fault> {
    let store = &shared.store;
    store.read(table, partition, "", "", STORE_TIMEOUT).await
}

/// Writes the fencing token of this leader into a partition, so that writes of older leaders fail.
/// Returns false if a newer leader has done so before.
async fn fence(shared: &Shared, partition: &str, token: u64) -> Result<bool, Fault> {
    let (rows, _) = read(shared, TERMS, partition).await?;
    let row = rows.iter().find(|r| &*r.key == OWNER_KEY);
    let (version, content) = row.map_or((0, None), |r| (r.version, r.content.as_ref()));
    let stored = content
        .and_then(|c| row::decode::<Fence>(OWNER_KEY, c))
        .unwrap_or_default();
    let Some(raised) = stored.raised(token) else {
        return Ok(false);
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
        Outcome::Applied(_) => Ok(true),
        // A late write of the previous leader came first, so the fence row is read again.
        Outcome::Conflict(_) => Box::pin(fence(shared, partition, token)).await,
    }
}

/// Rows of the jobs of one partition and of their progress.
pub(super) struct Jobs {
    rows: Vec<Row>,
    progress: Vec<Row>,
    /// Version of the store up to which all changes are included.
    pub(super) version: u64,
}

/// Fences a partition and reads its jobs and their progress. `None` if a newer leader has fenced it.
///
/// No progress is written and no job deleted meanwhile: the partition is fenced, and this leader has
/// not begun to write.
async fn load_partition(shared: &Shared, partition: String, token: u64) -> Option<Jobs> {
    if !retry(|| fence(shared, &partition, token)).await {
        return None;
    }
    let jobs = retry(|| read(shared, JOBS, &partition));
    let progress = retry(|| read(shared, PROGRESS, &partition));
    let ((rows, version), (progress, _)) = join(jobs, progress).await;
    Some(Jobs {
        rows,
        progress,
        version,
    })
}

/// Reads the jobs of a partition without their progress, for a leader that has loaded all jobs
/// with progress before.
pub(super) async fn read_jobs(shared: &Shared, partition: &str) -> Result<Jobs, Fault> {
    let (rows, version) = read(shared, JOBS, partition).await?;
    Ok(Jobs {
        rows,
        progress: Vec::new(),
        version,
    })
}

/// Passes the jobs of a partition to the engine, cancellations after the jobs that they cancel.
pub(super) fn load_jobs(engine: &mut Engine, jobs: &Jobs) {
    let decode = |row: &Row| row::decode(&row.key, row.content.as_ref()?);
    let progress = jobs.progress.iter();
    let progress: Map<&Arc<str>, Progress> = progress
        .filter_map(|row| Some((&row.key, decode(row)?)))
        .collect();
    let is_cancellation = |row: &&Row| row::cancelled_job(&row.key).is_some();
    let (cancellations, submissions): (Vec<&Row>, Vec<&Row>) =
        jobs.rows.iter().partition(is_cancellation);
    for row in submissions.into_iter().chain(cancellations) {
        apply_job_row(engine, row, progress.get(&row.key).cloned());
    }
}

/// Passes a row of the table of jobs to the engine: a job or a cancellation.
pub(super) fn apply_job_row(engine: &mut Engine, row: &Row, progress: Option<Progress>) {
    let Some(content) = &row.content else {
        return;
    };
    if let Some(job) = row::cancelled_job(&row.key) {
        engine.cancel_job(&job.into(), unix_time_ms(), clock::now());
        return;
    }
    if let Some(record) = row::decode::<Record>(&row.key, content) {
        if !record.spec.is_valid() {
            log::error!(event = "job-invalid", job = row.key; "");
            return;
        }
        engine.load_job(&row.key, record, progress, unix_time_ms(), clock::now());
    }
}
