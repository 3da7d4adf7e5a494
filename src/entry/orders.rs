use std::sync::Arc;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{Instant, sleep_until};

use super::recipient::Recipient;
use super::signals::Signals;
use super::term::Term;
use crate::batch::{Order, WorkerKey};
use crate::platform::api::Worker;

/// Share of the time for an answer after which the next order is sent without it. Most answers take
/// less, so one connection serves all orders.
const HEAD_START: f64 = 0.3;

/// Number of orders for one worker that may wait for their answers.
const MAX_IN_FLIGHT: usize = 8;

/// Sends the orders for one worker. Each is sent once the one before has an answer or had some time
/// for it: a worker may carry out an order without answering it.
pub(super) async fn send_orders(
    term: Arc<Term>,
    key: WorkerKey,
    worker: Arc<Worker>,
    signals: Arc<Signals>,
    mut orders: UnboundedReceiver<Order>,
) {
    let recipient = Recipient {
        term,
        key,
        worker,
        signals,
    };
    let mut in_flight = FuturesUnordered::new();
    let mut sent = 0_u64;
    // When the next order is sent although the last one has no answer.
    let mut next_at = Instant::now();
    let mut is_ready = true;
    loop {
        let may_send = is_ready && in_flight.len() < MAX_IN_FLIGHT;
        tokio::select! {
            order = orders.recv(), if may_send => {
                let Some(order) = order else {
                    return;
                };
                sent += 1;
                let delay = recipient.allowance().mul_f64(HEAD_START);
                (is_ready, next_at) = (false, Instant::now() + delay);
                let (number, recipient) = (sent, &recipient);
                in_flight.push(async move {
                    recipient.send(order).await;
                    number
                });
            }
            Some(number) = in_flight.next() => is_ready |= number == sent,
            () = sleep_until(next_at), if !is_ready => is_ready = true,
        }
    }
}
