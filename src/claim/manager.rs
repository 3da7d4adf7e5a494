use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::Semaphore;
use tokio::time::sleep;

use super::attempt::Attempt;
use super::failure::Failure;
use super::orphans::Orphans;
use super::queue::Queue;
use super::{Ask, Claim, Decision, Owner, Reply, Settings, Stamp, State, Ticket, Verdict};
use crate::fleet::Digest;
use crate::platform::{Condition, Error, Row, Table, Write};

/// Attempts to insert a claim; each may cost a transaction and a read of up to 0.9 s.
const CLAIM_ATTEMPTS: usize = 3;

/// Attempts to store an answer, about a minute with the pauses between them.
const FINISH_ATTEMPTS: u32 = 30;

/// Pause between attempts to store an answer.
const FINISH_PAUSE: Duration = Duration::from_secs(2);

/// Answers that wait for the store, in KiB; beyond it an answer is not stored.
const MAX_WAITING_KIB: usize = 8 << 10;

/// Read-backs at once, so that the answer lost for a large batch causes no burst of reads.
const MAX_READS: usize = 16;

/// Largest text of a row that stores an answer; a text with many escapes exceeds its body.
const MAX_TEXT: usize = 160 << 10;

/// Decides for one entry instance which requests with an idempotency key may run.
pub struct Manager {
    pub(super) table: Arc<dyn Table>,
    pub(super) owner: Owner,
    pub(super) queue: Queue,
    operations: AtomicU64,
    orphans: Mutex<Orphans>,
    waiting: Semaphore,
    reads: Semaphore,
}

impl Manager {
    /// Starts a manager; it must be called within a runtime.
    ///
    /// ```
    /// use coriandernotch::claim::{Ask, Manager, Owner, Settings, Stamp, Verdict};
    /// use coriandernotch::{fleet::Digest, standin::Store};
    ///
    /// # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
    /// let owner = Owner { instance: "e1".into(), incarnation: 1 };
    /// let manager = Manager::start(Store::new().platform("e1").table, owner, Settings::share(100.0, 1));
    /// let ask = Ask::new("quotes", "order-17", Digest::of(b"POST /orders"));
    /// assert!(matches!(manager.claim(&ask, Stamp(0)).await, Verdict::First(_)));
    /// assert_eq!(manager.claim(&ask, Stamp(1)).await, Verdict::Running);
    /// # });
    /// ```
    pub fn start(table: Arc<dyn Table>, owner: Owner, settings: Settings) -> Self {
        Self {
            queue: Queue::start(table.clone(), settings),
            table,
            owner,
            operations: AtomicU64::new(0),
            orphans: Mutex::default(),
            waiting: Semaphore::new(MAX_WAITING_KIB),
            reads: Semaphore::new(MAX_READS),
        }
    }

    /// Decides whether a request may run.
    ///
    /// Every verdict but [`Verdict::First`] means that this request does not run. Dropping the
    /// future is safe: a claim that takes effect afterwards is released later.
    ///
    /// The example of [`Manager::start`] shows a first and a repeated request.
    pub async fn claim(&self, ask: &Ask, now: Stamp) -> Verdict {
        let operation = self.operations.fetch_add(1, Ordering::Relaxed);
        let text = self.text(operation, ask.digest, State::Started, now);
        let mut attempt = Attempt::new(self, ask, operation, now);
        let mut condition = Condition::Absent;
        let mut reason = String::from("the store did not settle the claim");
        for _ in 0..CLAIM_ATTEMPTS {
            attempt.send();
            match self
                .queue
                .submit(Write::put(&ask.row, condition, &text))
                .await
            {
                Ok(version) => return attempt.win(version),
                Err(Failure::Conflict) => attempt.no_effect(),
                Err(Failure::Unknown) => attempt.lose(),
                Err(Failure::Unavailable(why)) => {
                    attempt.no_effect();
                    reason = why;
                    break;
                }
            }
            let row = match self.read(&ask.row).await {
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
                reason = format!("row {} holds no claim", row.key);
                break;
            };
            let abandoned = claim.owner == self.owner && self.orphans().contains(claim.operation);
            match Decision::of(&claim, ask, operation, &self.owner, abandoned, now) {
                Decision::Ours => return attempt.win(row.version),
                Decision::Replace => condition = Condition::Version(row.version),
                Decision::Stop(verdict) => return verdict,
            }
        }
        Verdict::Unavailable(reason)
    }

    /// Stores the answer of a request that ran; returns whether repeats will get it.
    ///
    /// It goes on for about a minute while the store is down, so callers need not wait for it.
    ///
    /// ```
    /// use coriandernotch::claim::{Ask, Manager, Owner, Reply, Settings, Stamp, Verdict};
    /// use coriandernotch::{fleet::Digest, standin::Store};
    ///
    /// # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
    /// let owner = Owner { instance: "e1".into(), incarnation: 1 };
    /// let manager = Manager::start(Store::new().platform("e1").table, owner, Settings::share(100.0, 1));
    /// let ask = Ask::new("quotes", "order-17", Digest::of(b"POST /orders"));
    /// let Verdict::First(ticket) = manager.claim(&ask, Stamp(0)).await else { panic!() };
    /// let reply = Reply { status: 201, headers: vec![], body: "made".into() };
    /// assert!(manager.finish(ticket, reply.clone(), Stamp(1)).await);
    /// assert_eq!(manager.claim(&ask, Stamp(2)).await, Verdict::Replay(reply));
    /// # });
    /// ```
    pub async fn finish(&self, ticket: Ticket, reply: Reply, now: Stamp) -> bool {
        let unkept = State::Unkept(reply.status);
        let text = |state| self.text(ticket.operation, ticket.digest, state, now);
        let kept = reply.is_small().then(|| text(State::Done(reply)));
        let is_kept = kept.as_ref().is_some_and(|text| text.len() <= MAX_TEXT);
        let text = kept.filter(|_| is_kept).unwrap_or_else(|| text(unkept));
        let size = u32::try_from(text.len() / 1024 + 1).unwrap_or(u32::MAX);
        let Ok(_room) = self.waiting.try_acquire_many(size) else {
            return false;
        };
        let condition = Condition::Version(ticket.version);
        for _ in 0..FINISH_ATTEMPTS {
            let write = Write::put(&ticket.row, condition, &text);
            match self.queue.submit(write).await {
                Ok(_) => return is_kept,
                // The answer to an earlier attempt was lost, or the window is over.
                Err(Failure::Conflict) => match self.read(&ticket.row).await {
                    Ok(row) => return is_kept && row.is_some_and(|row| *row.value == *text),
                    Err(_) => sleep(FINISH_PAUSE).await,
                },
                Err(Failure::Unavailable(_) | Failure::Unknown) => sleep(FINISH_PAUSE).await,
            }
        }
        false
    }

    /// Gives up the claim of a request that provably did not run, so that a repeat may run.
    ///
    /// Returns whether it is given up already; otherwise [`Manager::release_orphans`] goes on.
    ///
    /// ```
    /// use coriandernotch::claim::{Ask, Manager, Owner, Settings, Stamp, Verdict};
    /// use coriandernotch::{fleet::Digest, standin::Store};
    ///
    /// # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
    /// let owner = Owner { instance: "e1".into(), incarnation: 1 };
    /// let manager = Manager::start(Store::new().platform("e1").table, owner, Settings::share(100.0, 1));
    /// let ask = Ask::new("quotes", "order-17", Digest::of(b"POST /orders"));
    /// let Verdict::First(ticket) = manager.claim(&ask, Stamp(0)).await else { panic!() };
    /// assert!(manager.release(ticket, Stamp(1)).await);
    /// assert!(matches!(manager.claim(&ask, Stamp(2)).await, Verdict::First(_)));
    /// # });
    /// ```
    pub async fn release(&self, ticket: Ticket, now: Stamp) -> bool {
        self.orphans()
            .add(ticket.operation, ticket.row.clone(), now);
        let text = self.text(ticket.operation, ticket.digest, State::Released, now);
        let condition = Condition::Version(ticket.version);
        let result = self
            .queue
            .submit(Write::put(&ticket.row, condition, &text))
            .await;
        let gone = matches!(result, Ok(_) | Err(Failure::Conflict));
        if gone {
            self.orphans().remove(ticket.operation);
        }
        gone
    }

    /// Remembers a claim whose request is never sent but whose row may yet appear.
    pub(super) fn abandon(&self, operation: u64, row: Arc<str>, now: Stamp) {
        self.orphans().add(operation, row, now);
    }

    pub(super) async fn read(&self, row: &str) -> Result<Option<Row>, Error> {
        let _turn = self.reads.acquire().await;
        self.table.read(row.into()).await
    }

    pub(super) fn text(&self, operation: u64, digest: Digest, state: State, at: Stamp) -> String {
        let owner = self.owner.clone();
        Claim {
            owner,
            operation,
            digest,
            at,
            state,
        }
        .text()
    }

    pub(super) fn orphans(&self) -> MutexGuard<'_, Orphans> {
        self.orphans.lock().expect("orphans lock")
    }
}
