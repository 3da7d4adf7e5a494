use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::Semaphore;
use tokio::time::sleep;

use super::attempt::Attempt;
use super::failure::Failure;
use super::orphans::Orphans;
use super::queue::Queue;
use super::{
    Claim, ClaimRequest, Decision, Owner, Reply, Settings, State, Ticket, Timestamp, Verdict,
};
use crate::fleet::Digest;
use crate::platform::{Condition, Error, Row, Table, Write};

/// Attempts to insert a claim; each may take a transaction and a read of up to 0.9 s.
const MAX_CLAIM_ATTEMPTS: usize = 3;

/// Attempts to store an answer; with the pauses between them they take about a minute.
const MAX_FINISH_ATTEMPTS: u32 = 30;

/// Pause between attempts to store an answer.
const FINISH_PAUSE: Duration = Duration::from_secs(2);

/// Total size of the answers that wait to be stored, in KiB; further answers are not stored.
const MAX_PENDING_KIB: usize = 8 << 10;

/// Concurrent reads, so that a lost answer to a large batch causes no burst of reads.
const MAX_CONCURRENT_READS: usize = 16;

/// Largest value of a row with an answer, in bytes. Escaped characters can make it much larger
/// than the body of the answer.
const MAX_VALUE_BYTES: usize = 160 << 10;

/// Decides for one entry instance which requests with an idempotency key may run.
pub struct Manager {
    pub(super) table: Arc<dyn Table>,
    pub(super) owner: Owner,
    pub(super) queue: Queue,
    next_operation: AtomicU64,
    orphans: Mutex<Orphans>,
    pending_kib: Semaphore,
    read_permits: Semaphore,
}

impl Manager {
    /// Starts a manager; must be called within a Tokio runtime.
    ///
    /// ```
    /// use coriandernotch::claim::{ClaimRequest, Manager, Owner, Settings, Timestamp, Verdict};
    /// use coriandernotch::{fleet::Digest, standin::Store};
    ///
    /// # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
    /// let owner = Owner { instance: "e1".into(), incarnation: 1 };
    /// let manager = Manager::start(Store::new().platform("e1").table, owner, Settings::share(100.0, 1));
    /// let request = ClaimRequest::new("quotes", "order-17", Digest::of(b"POST /orders"));
    /// assert!(matches!(manager.claim(&request, Timestamp(0)).await, Verdict::First(_)));
    /// assert_eq!(manager.claim(&request, Timestamp(1)).await, Verdict::Running);
    /// # });
    /// ```
    pub fn start(table: Arc<dyn Table>, owner: Owner, settings: Settings) -> Self {
        Self {
            queue: Queue::start(table.clone(), settings),
            table,
            owner,
            next_operation: AtomicU64::new(0),
            orphans: Mutex::default(),
            pending_kib: Semaphore::new(MAX_PENDING_KIB),
            read_permits: Semaphore::new(MAX_CONCURRENT_READS),
        }
    }

    /// Decides whether a request may run.
    ///
    /// With any verdict other than [`Verdict::First`] the request must not run. The future may be
    /// dropped at any time: a claim that takes effect afterwards is released later.
    ///
    /// The example of [`Manager::start`] shows a first and a repeated request.
    pub async fn claim(&self, request: &ClaimRequest, now: Timestamp) -> Verdict {
        let operation = self.next_operation.fetch_add(1, Ordering::Relaxed);
        let text = self.claim_json(operation, request.digest, State::Started, now);
        let mut attempt = Attempt::new(&self.orphans, request, operation, now);
        let mut condition = Condition::Absent;
        let mut reason =
            String::from("the claim was not settled after repeated conflicts or lost answers");
        for _ in 0..MAX_CLAIM_ATTEMPTS {
            attempt.mark_sent();
            match self
                .queue
                .submit(Write::put(&request.row_key, condition, &text))
                .await
            {
                Ok(version) => return attempt.succeed(version),
                Err(Failure::Conflict) => attempt.mark_no_effect(),
                Err(Failure::Unknown) => attempt.mark_unknown(),
                Err(Failure::Unavailable(why)) => {
                    attempt.mark_no_effect();
                    reason = why;
                    break;
                }
            }
            let row = match self.read(&request.row_key).await {
                Ok(Some(row)) => row,
                Ok(None) => {
                    condition = Condition::Absent;
                    continue;
                }
                Err(error) => {
                    reason = error.to_string();
                    break;
                }
            };
            let Ok(claim) = serde_json::from_str::<Claim>(&row.value) else {
                reason = format!("row {} does not hold a valid claim", row.key);
                break;
            };
            let abandoned = claim.owner == self.owner && self.orphans().contains(claim.operation);
            match Decision::of(&claim, request, operation, &self.owner, abandoned, now) {
                Decision::Claimed => return attempt.succeed(row.version),
                Decision::Replace => condition = Condition::Version(row.version),
                Decision::Reject(verdict) => return verdict,
            }
        }
        Verdict::Unavailable(reason)
    }

    /// Stores the answer to a request that ran; returns whether repeated requests will get it.
    ///
    /// While the store is down, this retries for about a minute, so it should run in the background.
    ///
    /// ```
    /// use coriandernotch::claim::{ClaimRequest, Manager, Owner, Reply, Settings, Timestamp, Verdict};
    /// use coriandernotch::{fleet::Digest, standin::Store};
    ///
    /// # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
    /// let owner = Owner { instance: "e1".into(), incarnation: 1 };
    /// let manager = Manager::start(Store::new().platform("e1").table, owner, Settings::share(100.0, 1));
    /// let request = ClaimRequest::new("quotes", "order-17", Digest::of(b"POST /orders"));
    /// let Verdict::First(ticket) = manager.claim(&request, Timestamp(0)).await else { panic!() };
    /// let reply = Reply { status: 201, headers: vec![], body: "made".into() };
    /// assert!(manager.finish(ticket, reply.clone(), Timestamp(1)).await);
    /// assert_eq!(manager.claim(&request, Timestamp(2)).await, Verdict::Replay(reply));
    /// # });
    /// ```
    pub async fn finish(&self, ticket: Ticket, reply: Reply, now: Timestamp) -> bool {
        let too_large = State::Unkept(reply.status);
        let text = |state| self.claim_json(ticket.operation, ticket.digest, state, now);
        let complete = reply.is_storable().then(|| text(State::Done(reply)));
        let fits = complete
            .as_ref()
            .is_some_and(|text| text.len() <= MAX_VALUE_BYTES);
        let text = complete.filter(|_| fits).unwrap_or_else(|| text(too_large));
        let size_kib = u32::try_from(text.len() / 1024 + 1).unwrap_or(u32::MAX);
        let Ok(_permit) = self.pending_kib.try_acquire_many(size_kib) else {
            return false;
        };
        let condition = Condition::Version(ticket.version);
        for _ in 0..MAX_FINISH_ATTEMPTS {
            let write = Write::put(&ticket.row_key, condition, &text);
            match self.queue.submit(write).await {
                Ok(_) => return fits,
                // The answer to an earlier attempt was lost, or the claim has expired.
                Err(Failure::Conflict) => match self.read(&ticket.row_key).await {
                    Ok(row) => return fits && row.is_some_and(|row| *row.value == *text),
                    Err(_) => sleep(FINISH_PAUSE).await,
                },
                Err(Failure::Unavailable(_) | Failure::Unknown) => sleep(FINISH_PAUSE).await,
            }
        }
        false
    }

    /// Releases the claim of a request that provably did not run, so that a repeated request may run.
    ///
    /// Returns whether this succeeded; otherwise [`Manager::release_orphans`] tries again.
    ///
    /// ```
    /// use coriandernotch::claim::{ClaimRequest, Manager, Owner, Settings, Timestamp, Verdict};
    /// use coriandernotch::{fleet::Digest, standin::Store};
    ///
    /// # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
    /// let owner = Owner { instance: "e1".into(), incarnation: 1 };
    /// let manager = Manager::start(Store::new().platform("e1").table, owner, Settings::share(100.0, 1));
    /// let request = ClaimRequest::new("quotes", "order-17", Digest::of(b"POST /orders"));
    /// let Verdict::First(ticket) = manager.claim(&request, Timestamp(0)).await else { panic!() };
    /// assert!(manager.release(ticket, Timestamp(1)).await);
    /// assert!(matches!(manager.claim(&request, Timestamp(2)).await, Verdict::First(_)));
    /// # });
    /// ```
    pub async fn release(&self, ticket: Ticket, now: Timestamp) -> bool {
        self.orphans()
            .add(ticket.operation, ticket.row_key.clone(), now);
        let text = self.claim_json(ticket.operation, ticket.digest, State::Released, now);
        let condition = Condition::Version(ticket.version);
        let result = self
            .queue
            .submit(Write::put(&ticket.row_key, condition, &text))
            .await;
        let is_released = matches!(result, Ok(_) | Err(Failure::Conflict));
        if is_released {
            self.orphans().remove(ticket.operation);
        }
        is_released
    }

    pub(super) async fn read(&self, row_key: &str) -> Result<Option<Row>, Error> {
        let _permit = self.read_permits.acquire().await;
        self.table.read(row_key.into()).await
    }

    pub(super) fn claim_json(
        &self,
        operation: u64,
        digest: Digest,
        state: State,
        at: Timestamp,
    ) -> String {
        let owner = self.owner.clone();
        Claim {
            owner,
            operation,
            digest,
            at,
            state,
        }
        .to_json()
    }

    pub(super) fn orphans(&self) -> MutexGuard<'_, Orphans> {
        self.orphans.lock().expect("orphans lock")
    }
}
