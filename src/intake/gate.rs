use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;

use metrics::{counter, gauge};
use slotmap::SecondaryMap;
use strum::IntoEnumIterator;
use tokio_util::sync::CancellationToken;

use super::books::Books;
use super::{Admission, Cause, Evicted, Key, Ledger, Limits, LogThrottle, Port, Seat, Verdict};
use crate::clock;

/// Time between two looks for connections whose time is over.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// The ledger of a process, shared by the tasks of its connections.
#[derive(Debug)]
pub struct Gate {
    books: Mutex<Books>,
    limits: Limits,
}

impl Gate {
    /// Makes a gate without connections.
    ///
    /// ```
    /// use coriandernotch::intake::{Gate, Limits};
    ///
    /// assert_eq!(Gate::new(Limits::new(Some(160), None)).used(), 0);
    /// ```
    pub fn new(limits: Limits) -> Arc<Self> {
        Arc::new(Self {
            books: Mutex::new(Books {
                ledger: Ledger::new(limits),
                seats: SecondaryMap::new(),
                waiting: Vec::new(),
                throttle: LogThrottle::default(),
            }),
            limits,
        })
    }

    /// Returns the limits.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns the bytes that are charged.
    pub fn used(&self) -> usize {
        self.books.lock().expect("intake lock").ledger.used()
    }

    /// Makes connections give way whose time is over, until the process ends.
    pub async fn sweep(self: Arc<Self>) {
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            // An answer stalls by the passing of time, of which no other event tells those that wait.
            self.give_back(|ledger| ledger.sweep(clock::now()));
        }
    }

    /// Sets the gauges of what is in use.
    pub fn set_gauges(&self) {
        let books = self.books.lock().expect("intake lock");
        gauge!("intake_bytes").set(books.ledger.used() as f64);
        gauge!("intake_bytes_limit").set(self.limits.bytes as f64);
        for port in Port::iter() {
            let connections = books.ledger.connections(port);
            gauge!("connections", "port" => port.name()).set(connections as f64);
        }
    }

    /// Waits until a new connection has a place.
    pub async fn admit(self: &Arc<Self>, port: Port) -> Arc<Seat> {
        let (key, evicted) = std::future::poll_fn(|cx| self.poll_admit(port, cx)).await;
        Arc::new(Seat::new(self.clone(), key, evicted))
    }

    /// Waits until a port has no connections.
    pub async fn emptied(&self, port: Port) {
        std::future::poll_fn(|cx| self.poll_emptied(port, cx)).await;
    }

    fn poll_emptied(&self, port: Port, cx: &Context<'_>) -> Poll<()> {
        let mut books = self.books.lock().expect("intake lock");
        if books.ledger.connections(port) == 0 {
            return Poll::Ready(());
        }
        books.wait(cx);
        Poll::Pending
    }

    fn poll_admit(&self, port: Port, cx: &Context<'_>) -> Poll<(Key, CancellationToken)> {
        self.books_with(|books| match books.ledger.admit(port, clock::now()) {
            Admission::Admitted(key) => {
                let token = CancellationToken::new();
                books.seats.insert(key, (port, token.clone()));
                Poll::Ready((key, token))
            }
            Admission::Wait => {
                books.wait(cx);
                Poll::Pending
            }
        })
    }

    pub(super) fn poll_charge(
        &self,
        key: Key,
        bytes: usize,
        cx: &Context<'_>,
    ) -> Poll<Result<(), Evicted>> {
        self.books_with(
            |books| match books.ledger.charge(key, bytes, clock::now()) {
                Verdict::Granted => Poll::Ready(Ok(())),
                Verdict::Refused => Poll::Ready(Err(Evicted)),
                Verdict::Wait => {
                    books.wait(cx);
                    Poll::Pending
                }
            },
        )
    }

    /// Waits until a request that arrived whole may be decoded.
    pub(super) fn poll_adopt(&self, cx: &Context<'_>) -> Poll<()> {
        let mut books = self.books.lock().expect("intake lock");
        if books.ledger.may_adopt() {
            return Poll::Ready(());
        }
        books.wait(cx);
        Poll::Pending
    }

    /// Changes the ledger and tells the connections that must give way.
    pub(super) fn with<R>(&self, change: impl FnOnce(&mut Ledger) -> R) -> R {
        self.books_with(|books| change(&mut books.ledger))
    }

    /// Gives bytes back by `change` and wakes the tasks that wait for them.
    pub(super) fn give_back(&self, change: impl FnOnce(&mut Ledger)) {
        let waiting = self.books_with(|books| {
            change(&mut books.ledger);
            std::mem::take(&mut books.waiting)
        });
        waiting.into_iter().for_each(std::task::Waker::wake);
    }

    pub(super) fn remove(&self, key: Key) {
        let mut books = self.books.lock().expect("intake lock");
        books.seats.remove(key);
        drop(books);
        self.give_back(|ledger| ledger.remove(key));
    }

    /// Counts and logs a connection whose head hyper found to be too long.
    pub(super) fn report_long_head(&self, port: Port) {
        let mut books = self.books.lock().expect("intake lock");
        let unlogged = books.throttle.note(port, Cause::LongHead, clock::now());
        let used = books.ledger.used();
        drop(books);
        report(port, Cause::LongHead, unlogged, used);
    }

    fn books_with<R>(&self, change: impl FnOnce(&mut Books) -> R) -> R {
        let mut books = self.books.lock().expect("intake lock");
        let result = change(&mut books);
        let told = books.tell();
        // Those that wait may be among the evicted.
        let woken = match told.is_empty() {
            true => Vec::new(),
            false => std::mem::take(&mut books.waiting),
        };
        let used = books.ledger.used();
        drop(books);
        woken.into_iter().for_each(std::task::Waker::wake);
        for (port, cause, unlogged) in told {
            report(port, cause, unlogged, used);
        }
        result
    }
}

/// Counts a connection that is closed for a limit, and logs it if it gets a line.
fn report(port: Port, cause: Cause, unlogged: Option<u64>, used: usize) {
    counter!("connections_evicted_total", "port" => port.name(), "cause" => cause.name())
        .increment(1);
    let Some(unlogged) = unlogged else {
        return;
    };
    let (port, cause_name) = (port.name(), cause.name());
    match cause {
        Cause::Idle => {
            log::debug!(event = "connection-evicted", port, cause = cause_name, unlogged; "");
        }
        _ => log::warn!(event = "connection-evicted", port, cause = cause_name, unlogged,
            used; ""),
    }
}
