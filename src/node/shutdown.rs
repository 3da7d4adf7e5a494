use std::sync::Arc;
use std::time::Duration;

use super::{Shared, borrow, join};
use crate::clock;
use crate::event::Event;
use crate::wire::Body;

/// Time between two checks of whether the running calls have ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time from reporting not ready to the end of admission.
///
/// Without it, a caller that saw the instance ready a moment earlier would find its connection
/// closed.
const NOT_READY_NOTICE: Duration = Duration::from_millis(200);

/// Time for the last messages to be sent to the peers.
const FLUSH_DELAY: Duration = Duration::from_millis(100);

/// Shuts the instance down in this order: it reports not ready, waits for [`NOT_READY_NOTICE`],
/// ends admission, waits for the running calls and jobs within the grace period, returns its
/// permits and its vote, marks its member row as left, and closes the connections to its peers.
pub(super) async fn shut_down(shared: &Arc<Shared>) {
    let grace = Duration::from_millis(shared.settings.bounds.shutdown_grace_ms.into());
    let dispatcher = shared.control.dispatcher();
    let start = clock::now();
    log::info!(event = "shutdown-started", running = dispatcher.running(),
        waiting = dispatcher.waiting(); "");
    let event = Event::Shutdown {
        running: dispatcher.running(),
        waiting: dispatcher.waiting(),
    };
    shared.events().add(start, event);
    shared
        .shutting_down
        .store(true, std::sync::atomic::Ordering::Release);
    tokio::time::sleep(NOT_READY_NOTICE).await;
    dispatcher.drain();
    shared.stop.send_replace(true);
    let job_permits = || {
        shared
            .job_permits
            .load(std::sync::atomic::Ordering::Acquire)
    };
    while dispatcher.running() + job_permits() > 0 && clock::now().since(start) < grace {
        // The proof that the configuration is current and the loans must last as long as anything
        // runs. The tasks of the peers' connections still run.
        let now = clock::now();
        shared.control.act(now, |state| state.tick(now));
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let now = clock::now();
    let orders = dispatcher.with_ledger(|ledger| ledger.begin_shutdown(now));
    borrow::send_orders(shared, &orders);
    let retirement = shared.control.act(now, |state| state.retire(now));
    shared.hub.tell_all(&Body::Retire((&retirement).into()));
    if let Err(error) = join::leave(&shared.platform, &shared.member).await {
        log::warn!(event = "leave-failed", error:% = error; "");
    }
    tokio::time::sleep(FLUSH_DELAY).await;
    shared.hub.stop();
    log::info!(event = "shutdown-ended", running = dispatcher.running(),
        millis = clock::now().since(start).as_millis() as u64; "");
}
