//! Admission of submitted jobs: what this instance knows of the job, what the outlook says, and what
//! the store says before a refusal.

use std::time::Duration;

use metrics::counter;
use tokio::time::timeout;

use super::row::{self, JOBS};
use super::shared::Shared;
use crate::batch::JobMemory;
use crate::batch::admission::{Arrival, Attempt, Delay, Reason, Refusal, Verdict};
use crate::clock;
use crate::job_store::Partition;
use crate::platform::api::Fault;

/// Timeout of the look-up that precedes a refusal. An answer takes 4 ms. A store that takes
/// much longer may delay a write by another instance as well; the job is accepted then.
const LOOK_UP_TIMEOUT: Duration = Duration::from_millis(50);

/// Time for which a job waits for its look-up, if there is no memory for it.
const LOOK_UP_WAIT: Duration = Duration::from_secs(1);

/// Time from which a call shows that the store is slow. A transaction takes 8 ms.
const SLOW_CALL: Duration = Duration::from_millis(100);

/// Shortest delay after which the caller of a job for which there was no memory is to return.
const FULL_DELAY: Duration = Duration::from_secs(2);

/// Records an attempt to submit a job that arrived at `arrived_ms`, in milliseconds since 1970.
pub(super) fn record(shared: &Shared, id: &str, arrived_ms: u64) -> Attempt {
    let mut attempts = shared.attempts.lock().expect("attempts lock");
    attempts.add(id, arrived_ms, clock::now())
}

/// Returns whether a job that needs some memory at the leader has room there, or may be stored.
pub(super) fn has_room(shared: &Shared, attempt: Attempt, memory: JobMemory) -> bool {
    attempt.may_be_stored() || shared.take_room(memory, clock::now())
}

/// Decides about a job that arrived at `arrived_ms`, in milliseconds since 1970. Returns the time of
/// its first attempt if it is accepted, else the delay after which the caller is to return.
pub(super) async fn admit(
    shared: &Shared,
    queue: &str,
    id: &str,
    arrival: Arrival,
    attempt: Attempt,
    arrived_ms: u64,
) -> Result<u64, Refusal> {
    if !shared.settings.refuse_late_jobs {
        return Ok(arrived_ms);
    }
    let now = clock::now();
    let mut first_ms = attempt.first_ms.min(arrived_ms);
    let waited = Duration::from_millis(arrived_ms - first_ms);
    if !attempt.may_be_stored() && arrival.is_new_after(waited) {
        let mut attempts = shared.attempts.lock().expect("attempts lock");
        attempts.restart(id, arrived_ms);
        first_ms = arrived_ms;
    }
    let arrival = arrival.counted_from(first_ms, arrived_ms);
    let verdict = if attempt.may_be_stored() {
        Verdict::Accept(Reason::Repeated)
    } else {
        decide(shared, queue, &arrival, now)
    };
    let verdict = match verdict {
        Verdict::Refuse { .. } => confirm(shared, id, verdict).await,
        Verdict::Accept(_) => verdict,
    };
    match verdict {
        Verdict::Accept(reason) => {
            counter!("admissions_total", "verdict" => <&str>::from(reason)).increment(1);
            Ok(first_ms)
        }
        Verdict::Refuse { end, delay } => {
            counter!("admissions_total", "verdict" => "refused").increment(1);
            let delay = Delay::new(delay, id, attempt.count);
            let pause = Duration::from_secs(delay.seconds().into());
            let is_new = arrival.is_new_after(arrival.waited.saturating_add(pause));
            if is_new {
                let mut attempts = shared.attempts.lock().expect("attempts lock");
                attempts.restart(id, arrived_ms + u64::from(delay.seconds()) * 1_000);
            }
            log::info!(event = "job-refused-early", job = id, route = queue,
                workspace = arrival.workspace, expected_ms = end.as_millis(),
                objective_ms = arrival.objective.as_millis(),
                retry_after_s = delay.seconds(), is_new, attempt = attempt.count; "");
            Err(Refusal::Late { delay, is_new })
        }
    }
}

/// Records that the store may carry out writes late, also those of other instances.
pub(super) fn record_unknown_outcome(shared: &Shared) {
    let mut admission = shared.admission.lock().expect("admission lock");
    admission.record_unknown_outcome(clock::now());
}

/// Records how long a call of the store took.
pub(super) fn record_call(shared: &Shared, took: Duration) {
    if took >= SLOW_CALL {
        record_unknown_outcome(shared);
    }
}

fn decide(shared: &Shared, queue: &str, arrival: &Arrival, now: clock::Instant) -> Verdict {
    let leader = {
        let leader = shared.leader.lock().expect("leader lock");
        leader.is_held().then_some(leader.token)
    };
    let leader = shared.term().map(|term| term.token).or(leader);
    let store_ms = shared.store.clock_ms(now);
    let admission = shared.admission.lock().expect("admission lock");
    admission.decide(arrival, queue, leader, store_ms, now)
}

/// Refuses a job unless it must be taken as stored.
async fn confirm(shared: &Shared, id: &str, refusal: Verdict) -> Verdict {
    match find_stored(shared, id).await {
        Some(reason) => Verdict::Accept(reason),
        None => refusal,
    }
}

/// Refuses a job for which the leader has no memory, unless it is stored already.
pub(super) async fn refuse_full(
    shared: &Shared,
    id: &str,
    attempt: Attempt,
) -> Result<(), Refusal> {
    let has_unknown_outcome = {
        let admission = shared.admission.lock().expect("admission lock");
        admission.has_unknown_outcome(clock::now())
    };
    let turn = timeout(LOOK_UP_WAIT, shared.look_ups.acquire()).await;
    let found = match turn {
        Ok(_turn) if !has_unknown_outcome => find_stored(shared, id).await,
        _ => Some(Reason::Unknown),
    };
    let refusal = match found {
        Some(Reason::Unknown) => Refusal::Uncertain,
        Some(_) => return Ok(()),
        None => Refusal::Full(Delay::new(FULL_DELAY, id, attempt.count)),
    };
    counter!("admissions_total", "verdict" => "full").increment(1);
    log::info!(event = "job-refused-full", job = id, refusal:? = refusal; "");
    Err(refusal)
}

/// Returns why a job must be taken as stored, or `None` if it certainly is not. Looks it up in the
/// store: an earlier attempt, at any instance, may have stored it, in the partition of the job or,
/// in an earlier version, in that of its progress. A cancelled job is left to the write, which finds
/// the cancellation.
async fn find_stored(shared: &Shared, id: &str) -> Option<Reason> {
    let found = tokio::try_join!(
        has_row(shared, Partition::of_job(id), id),
        has_row(shared, Partition::of_progress(id), id),
    );
    let attempt = {
        let attempts = shared.attempts.lock().expect("attempts lock");
        attempts.get(id)
    };
    match found {
        Ok((false, false)) if attempt.is_none_or(|attempt| attempt.may_be_stored()) => {
            Some(Reason::Repeated)
        }
        Ok((false, false)) => None,
        Ok(_) => Some(Reason::Repeated),
        Err(fault) => {
            if matches!(fault, Fault::Unknown { .. }) {
                record_unknown_outcome(shared);
            }
            log::debug!(event = "look-up-failed", job = id, fault:% = fault; "");
            Some(Reason::Unknown)
        }
    }
}

/// Returns whether the store shows a row of a job or of its cancellation in a partition.
async fn has_row(shared: &Shared, partition: Partition, id: &str) -> Result<bool, Fault> {
    let (partition, end_key) = (partition.name(), row::end_key(id));
    let read = (shared.store).read(JOBS, &partition, id, &end_key, LOOK_UP_TIMEOUT);
    let (rows, _) = read.await?;
    Ok(rows.iter().any(|row| row.content.is_some()))
}
