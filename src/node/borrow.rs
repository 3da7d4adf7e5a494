use std::sync::Arc;
use std::time::Duration;

use super::Shared;
use crate::clock;
use crate::fleet::Snapshot;
use crate::limit::{Envelope, Request};
use crate::wire::{Body, Borrow, Renew, Return};

/// Time between two rounds while no call waits; they renew and return loans.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum time between two rounds while calls wait; a few round trips to a peer.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(5);

/// Borrows permits for waiting calls, renews loans and returns permits that are not needed.
pub(super) async fn exchange_permits(shared: Arc<Shared>) {
    let dispatcher = shared.control.dispatcher();
    loop {
        let now = clock::now();
        let waiting = dispatcher.waiting_by_workspace();
        let orders = dispatcher.with_ledger(|ledger| {
            waiting
                .iter()
                .for_each(|(workspace, count)| ledger.set_waiting(*workspace, *count, now));
            ledger.tick(now)
        });
        send_orders(&shared, &orders);
        if shared.pause(MIN_ROUND_INTERVAL).await {
            return;
        }
        tokio::select! {
            stop = shared.pause(ROUND_INTERVAL) => if stop { return },
            () = dispatcher.permit_wanted().notified() => {}
        }
    }
}

/// Sends orders of the ledger to the peers. An order to a disconnected peer is dropped, which the
/// ledger handles like a lost message.
pub(super) fn send_orders(shared: &Shared, orders: &[Envelope]) {
    let Some(current) = shared.control.current() else {
        return;
    };
    for order in orders {
        let voter = shared
            .control
            .dispatcher()
            .with_ledger(|ledger| ledger.voter(order.to).cloned());
        let Some(voter) = voter else { continue };
        let Some(link) = shared.hub.link(&voter) else {
            continue;
        };
        if let Some(body) = encode(&current, order.request) {
            link.tell(body);
        }
    }
}

fn encode(current: &Snapshot, request: Request) -> Option<Body> {
    let millis = |run: Duration| u64::try_from(run.as_millis()).unwrap_or(u64::MAX);
    Some(match request {
        Request::Borrow {
            id,
            workspace,
            amount,
            run,
        } => Body::Borrow(Borrow {
            id: id.0,
            workspace: current.workspace(workspace)?.name.to_string(),
            amount,
            run_ms: millis(run),
        }),
        Request::Renew {
            id,
            attempt,
            keep,
            run,
        } => Body::Renew(Renew {
            id: id.0,
            attempt,
            keep,
            run_ms: millis(run),
        }),
        Request::Return { id, keep } => Body::Return(Return { id: id.0, keep }),
    })
}
