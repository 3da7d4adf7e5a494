use std::sync::Arc;
use std::time::Duration;

use super::Shared;
use crate::clock;
use crate::config::Vote;
use crate::event::Event;

/// Time between two ticks, which release the permits of calls without a proven end, and expire late
/// calls and loans.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Passes the current time to the configuration state and the dispatcher, for all that depends on
/// timeouts, and stops the instance when it has lost its vote.
pub(super) async fn tick(shared: Arc<Shared>) {
    loop {
        let now = clock::now();
        let vote = shared.control.act(now, |state| {
            state.tick(now);
            state.vote()
        });
        if vote == Vote::Lost {
            // After a long pause the other voters may have removed this instance. A restart with a
            // new incarnation is simpler to prove correct than continuing.
            log::error!(event = "vote-lost", action = "shutdown"; "");
            shared.events().add(now, Event::VoteLost);
            shared.stop.send_replace(true);
        }
        shared.control.dispatcher().release_expired(now);
        if shared.pause(TICK_INTERVAL).await {
            return;
        }
    }
}
