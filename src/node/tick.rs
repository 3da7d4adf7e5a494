use std::sync::Arc;
use std::time::Duration;

use super::Shared;
use crate::clock;
use crate::config::Vote;
use crate::event::Event;

/// Time between two ticks: lingering permits, late calls and lapsed loans.
const TICK: Duration = Duration::from_millis(50);

/// Lets time pass for the decisions of this instance.
pub(super) async fn tick(shared: Arc<Shared>) {
    loop {
        let now = clock::now();
        let vote = shared.control.act(now, |state| {
            state.tick(now);
            state.vote()
        });
        if vote == Vote::Lost {
            // After a long pause the voters may have gone on without this instance. A new life
            // with a new incarnation is simpler to prove right than one that carries on.
            log::error!(event = "vote-lost", action = "shutdown"; "");
            shared.events().add(now, Event::VoteLost);
            shared.stop.send_replace(true);
        }
        shared.control.dispatcher().tick(now);
        if shared.pause(TICK).await {
            return;
        }
    }
}
