use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};

use tokio_util::sync::CancellationToken;

use super::{Charge, Evicted, Exchange, Key, Registry, Slot, Stage};
use crate::clock;

/// A connection in the registry, removed when this is dropped.
#[derive(Debug)]
pub struct Connection {
    registry: Arc<Registry>,
    key: Key,
    evicted: CancellationToken,
    /// Bytes charged for the head of the present request.
    head: Mutex<usize>,
    /// Bytes charged for an answer that has not been written.
    answer: Mutex<usize>,
}

impl Connection {
    pub(super) fn new(registry: Arc<Registry>, key: Key, evicted: CancellationToken) -> Self {
        Self {
            registry,
            key,
            evicted,
            head: Mutex::default(),
            answer: Mutex::default(),
        }
    }

    /// Waits until the connection must be closed.
    pub async fn evicted(&self) {
        self.evicted.cancelled().await;
    }

    /// Returns whether the connection must be closed.
    pub fn is_evicted(&self) -> bool {
        self.evicted.is_cancelled()
    }

    /// Returns what the connection is doing.
    pub fn stage(&self) -> Option<Stage> {
        self.registry.with(|ledger| ledger.stage(self.key))
    }

    /// Notes that the head of a request has arrived; the exchange ends when the result is dropped.
    pub fn open(self: &Arc<Self>) -> Exchange {
        self.registry
            .with(|ledger| ledger.open(self.key, clock::now()));
        Exchange::new(self.clone())
    }

    /// Notes how long the body of the request is to be.
    pub(super) fn declare(&self, bytes: usize) {
        self.registry.with(|ledger| ledger.declare(self.key, bytes));
    }

    /// Notes that the request has arrived completely, or that another part bounds its body. Returns false
    /// if the connection is evicted, so that the request must not have an effect.
    pub fn complete(&self) -> bool {
        self.registry
            .with(|ledger| ledger.complete(self.key, clock::now()))
    }

    /// Notes that the connection carries several exchanges at once.
    pub fn multiplex(&self) {
        self.registry
            .with(|ledger| ledger.multiplex(self.key, clock::now()));
    }

    /// Waits until a request that arrived completely may be decoded.
    pub async fn may_decode(&self) {
        std::future::poll_fn(|cx| self.registry.poll_may_decode(cx)).await;
    }

    /// Charges what a request that arrived completely needs to be carried out, without a limit.
    pub fn charge_decoded(self: &Arc<Self>, bytes: usize) -> Charge {
        self.registry
            .with(|ledger| ledger.charge_decoded(self.key, bytes));
        let mut charge = Charge::new(self.clone());
        charge.add(bytes);
        charge
    }

    /// Adds bytes to a charge of this connection once there is room for them.
    ///
    /// # Errors
    ///
    /// Fails when the connection is evicted.
    pub async fn charge(&self, charge: &mut Charge, bytes: usize) -> Result<(), Evicted> {
        std::future::poll_fn(|cx| self.registry.poll_charge(self.key, bytes, cx)).await?;
        charge.add(bytes);
        Ok(())
    }

    /// Waits until there is room for a call that is passed on to a target.
    ///
    /// # Errors
    ///
    /// Fails when the connection is evicted.
    pub async fn begin_call(self: &Arc<Self>) -> Result<Slot, Evicted> {
        std::future::poll_fn(|cx| self.registry.poll_begin_call(self.key, cx)).await?;
        Ok(Slot::new(self.clone()))
    }

    pub(super) fn end_call(&self) {
        self.registry.give_back(|ledger| ledger.end_call(self.key));
    }

    /// Charges bytes until the result is dropped.
    ///
    /// # Errors
    ///
    /// Fails when the connection is evicted.
    pub async fn charge_exchange(self: &Arc<Self>, bytes: usize) -> Result<Charge, Evicted> {
        let mut charge = Charge::new(self.clone());
        self.charge(&mut charge, bytes).await?;
        Ok(charge)
    }

    /// Charges an answer until it has been written.
    ///
    /// # Errors
    ///
    /// Fails when the connection is evicted.
    pub async fn charge_answer(&self, bytes: usize) -> Result<(), Evicted> {
        std::future::poll_fn(|cx| self.registry.poll_charge(self.key, bytes, cx)).await?;
        *self.answer.lock().expect("answer lock") += bytes;
        Ok(())
    }

    /// Charges bytes of a head that arrived.
    pub(super) fn poll_charge_head(
        &self,
        bytes: usize,
        cx: &Context<'_>,
    ) -> Poll<Result<(), Evicted>> {
        ready!(self.registry.poll_charge(self.key, bytes, cx))?;
        *self.head.lock().expect("head lock") += bytes;
        Poll::Ready(Ok(()))
    }

    /// Notes that the connection was read for the first time and nothing had arrived.
    pub(super) fn await_request(&self) {
        self.registry
            .with(|ledger| ledger.await_request(self.key, clock::now()));
    }

    /// Notes bytes that arrived, and returns what the connection is doing.
    pub(super) fn arrived(&self, bytes: usize) -> Option<Stage> {
        self.registry
            .with(|ledger| ledger.arrived(self.key, bytes, clock::now()))
    }

    pub(super) fn set_blocked(&self, blocked: bool) {
        self.registry
            .with(|ledger| ledger.set_blocked(self.key, blocked, clock::now()));
    }

    /// Notes that all that was to be written has been.
    pub(super) fn flushed(&self) {
        let bytes = std::mem::take(&mut *self.answer.lock().expect("answer lock"));
        if bytes > 0 {
            self.give_back(bytes);
        }
    }

    /// Ends an exchange, whose head is no longer needed.
    pub(super) fn close(&self) {
        let head = std::mem::take(&mut *self.head.lock().expect("head lock"));
        self.registry.give_back(|ledger| {
            ledger.release(self.key, head);
            ledger.close(self.key, clock::now());
        });
    }

    pub(super) fn give_back(&self, bytes: usize) {
        self.registry
            .give_back(|ledger| ledger.release(self.key, bytes));
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.registry.remove(self.key);
    }
}
