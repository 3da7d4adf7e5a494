use std::sync::Arc;
use std::time::Duration;

use super::{Shared, borrow, join};
use crate::clock;
use crate::event::Event;
use crate::wire::Body;

/// Time between two looks at whether the running calls have ended.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// Time between not ready and the end of admission.
///
/// A caller that saw the instance ready a moment earlier would find its connection closed.
const NOTICE: Duration = Duration::from_millis(200);

/// Time for the last messages to go out.
const FLUSH: Duration = Duration::from_millis(100);

/// Ends the instance without cutting a call: not ready, a notice, no admission, running calls end, permits
/// and vote go back, connections close.
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
        .leaving
        .store(true, std::sync::atomic::Ordering::Release);
    tokio::time::sleep(NOTICE).await;
    dispatcher.drain();
    shared.stop.send_replace(true);
    let jobs = || {
        shared
            .job_permits
            .load(std::sync::atomic::Ordering::Acquire)
    };
    while dispatcher.running() + jobs() > 0 && clock::now().since(start) < grace {
        // Evidence and loans must stay current for what still runs; the peer tasks go on.
        let now = clock::now();
        shared.control.act(now, |state| state.tick(now));
        tokio::time::sleep(LOOK_EVERY).await;
    }
    let now = clock::now();
    let orders = dispatcher.with_ledger(|ledger| ledger.retire(now));
    borrow::send(shared, &orders);
    let last = shared.control.act(now, |state| state.retire(now));
    shared.hub.tell_all(&Body::Retire((&last).into()));
    if let Err(error) = join::leave(&shared.platform, &shared.member).await {
        log::warn!(event = "leave-failed", error:% = error; "");
    }
    tokio::time::sleep(FLUSH).await;
    shared.hub.stop();
    log::info!(event = "shutdown-ended", running = dispatcher.running(),
        millis = clock::now().since(start).as_millis() as u64; "");
}
