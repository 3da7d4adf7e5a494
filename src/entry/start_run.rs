//! How a start order is sent.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::time::sleep;

use super::recipient::{RESPONSE_TIMEOUT, Recipient};
use crate::batch::{Grant, Launch, Renewal, Reply, RunKey};
use crate::clock::{self, Instant};
use crate::telemetry;

/// Number of connections that are tried for a start order before the engine decides again.
const START_ATTEMPTS: u32 = 3;

impl Recipient {
    /// Starts a run unless it is no longer wanted.
    pub(super) async fn start_run(&self, run: RunKey) {
        let launch = self.term.engine().launch(run, clock::now());
        let Some(launch) = launch else {
            return self.record_start_not_sent(run);
        };
        let answer_age = self.term.engine().time_since_answer(self.key, clock::now());
        let Some((reply, clock_ms)) = self.send_start(run, &launch).await else {
            return self.record_start_not_sent(run);
        };
        let now = clock::now();
        log::info!(event = "task-started", job = launch.task.job, step = launch.task.step,
            index = launch.task.index, run = launch.number, worker = self.worker.id(),
            token = self.term.token, heard_ms = answer_age.as_millis(), reply:? = reply; "");
        telemetry::count_order("start", (&reply).into());
        let mut engine = self.term.engine();
        if let Some(decided_at) = engine.decided_at(run) {
            telemetry::record_start_time(now.since(decided_at));
        }
        engine.record_start_outcome(run, &reply, clock_ms, now);
        drop(engine);
        if reply == Reply::Fenced {
            self.term.end("a worker knows a newer leader");
        }
        if reply != Reply::Started {
            self.signals.unverified.notify_one();
            self.term.placement_wake.notify_one();
        }
    }

    fn record_start_not_sent(&self, run: RunKey) {
        telemetry::count_order("start", "unsent");
        self.term.engine().record_start_not_sent(run, clock::now());
        self.term.placement_wake.notify_one();
    }

    /// Sends a start order. When its answer is late, lets a poll show whether the worker has the run.
    /// Returns `None` if it was not sent.
    async fn send_start(&self, run: RunKey, launch: &Launch) -> Option<(Reply, Option<u64>)> {
        let exchange = self.exchange_start(run, launch);
        tokio::pin!(exchange);
        tokio::select! {
            answer = &mut exchange => answer,
            () = sleep(self.allowance()) => {
                self.term.engine().record_late_answer(run, clock::now());
                self.signals.unverified.notify_one();
                exchange.await
            }
        }
    }

    /// Sends a start order on a connection that leads to the process whose runs are known, and waits
    /// for the answer. For a new connection, a poll shows that first. Returns `None` if the order was
    /// not sent.
    async fn exchange_start(&self, run: RunKey, launch: &Launch) -> Option<(Reply, Option<u64>)> {
        for _ in 0..START_ATTEMPTS {
            let is_unverified = AtomicBool::new(false);
            let grant = |opened_at| self.grant(run, opened_at, &is_unverified);
            let sent = clock::now();
            let answer = self.worker.start(launch, RESPONSE_TIMEOUT, grant).await;
            if let Some((reply, clock_ms)) = answer {
                self.record_answer_time(&reply, sent);
                return Some((reply, clock_ms));
            }
            if !is_unverified.into_inner() || !self.verify_process().await {
                return None;
            }
        }
        None
    }

    fn record_answer_time(&self, reply: &Reply, sent: Instant) {
        let now = clock::now();
        if *reply == Reply::Unknown {
            self.term.answer_time().record_missing(now);
        } else {
            self.term.answer_time().record(now.since(sent));
        }
    }

    /// Polls the worker without a lease, on the connection that was opened last. Returns whether the
    /// process answers whose runs are known.
    async fn verify_process(&self) -> bool {
        let sent = clock::now();
        let renew = |_| self.term.may_send_orders().then(Renewal::default);
        let answer = self.worker.poll(Duration::ZERO, RESPONSE_TIMEOUT, renew);
        match answer.await {
            Ok(snapshot) => {
                let mut engine = self.term.engine();
                engine.verify_process(self.key, snapshot.born_ms, sent)
            }
            Err(fault) => {
                log::debug!(event = "process-unverified", worker = self.worker.id(),
                    fault:% = fault; "");
                false
            }
        }
    }

    /// Returns the end of the lease that a start order grants on a connection that was opened at a
    /// time. `None` if the order may not be sent on it: the connection may have taken long to open.
    fn grant(&self, run: RunKey, opened_at: Instant, is_unverified: &AtomicBool) -> Option<u64> {
        if !self.term.may_send_orders() {
            return None;
        }
        let grant = self
            .term
            .engine()
            .grant_by_start(run, opened_at, clock::now());
        is_unverified.store(grant == Grant::Unverified, Ordering::Relaxed);
        match grant {
            Grant::Until(deadline) => Some(deadline),
            Grant::Unverified | Grant::Denied => None,
        }
    }
}
