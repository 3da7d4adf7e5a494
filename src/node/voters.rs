use std::sync::Arc;
use std::time::Duration;

use super::Shared;
use crate::clock;
use crate::config::{Commit, Outcome, Vote, Voter};
use crate::event::Event;

/// Time between two checks of the voters.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Delay for each rank in the order of the voters: the first voter commits a change, and the others
/// see its commit before their delay ends.
const DELAY_PER_RANK: Duration = Duration::from_millis(400);

/// Highest rank that adds to the delay.
const MAX_RANK: usize = 8;

/// Adds running instances to the voters of the head, and removes voters that have ended.
pub(super) async fn maintain_voters(shared: Arc<Shared>) {
    loop {
        if shared.pause(CHECK_INTERVAL).await {
            return;
        }
        let Some(change) = find_change(&shared) else {
            continue;
        };
        if shared
            .pause(DELAY_PER_RANK * u32::try_from(change.rank).unwrap_or(0))
            .await
        {
            return;
        }
        // Another instance may have made the change while this one waited.
        let Some(change) = find_change(&shared) else {
            continue;
        };
        let state = shared
            .control
            .read(|state| Some((state.revision()?, state.in_force()?.content.clone())));
        let Some((revision, content)) = state else {
            continue;
        };
        let origin = shared.origin("voters");
        let names = |voters: &[Voter]| voters.iter().map(|v| v.name.clone()).collect();
        let event = Event::Voters {
            added: names(&change.add),
            removed: names(&change.remove),
        };
        let commit = Commit::voters(revision, content, &change.add, &change.remove, &origin);
        let outcome = shared.commit(commit).await;
        if matches!(outcome, Outcome::Accepted(_)) {
            shared.events().add(clock::now(), event);
        }
        log::info!(event = "voters-changed", added = change.add.len(),
            removed = change.remove.len(), outcome:? = outcome; "");
    }
}

/// Difference between the voters of the head and the instances that run.
struct Change {
    add: Vec<Voter>,
    remove: Vec<Voter>,
    /// Rank of this instance among the voters that remain, which determines its delay.
    rank: usize,
}

fn find_change(shared: &Shared) -> Option<Change> {
    let own = shared.control.own();
    let (voters, retired, can_commit) = shared.control.read(|state| {
        let voters = state.revision()?.head.voters.clone();
        let retired: Vec<Voter> = voters
            .iter()
            .filter(|v| state.is_retired(v))
            .cloned()
            .collect();
        Some((
            voters,
            retired,
            state.vote() == Vote::Held && state.pending().is_empty(),
        ))
    })?;
    if !can_commit {
        return None;
    }
    let mut running: Vec<Voter> = shared
        .hub
        .links()
        .iter()
        .map(|l| l.voter().clone())
        .collect();
    running.push(own.clone());
    let members = shared.members();
    for voter in voters
        .iter()
        .filter(|v| members.iter().any(|m| m.has_replaced(v)))
    {
        shared
            .control
            .with_presence(|presence| presence.on_restart(voter));
    }
    let ended = |v: &Voter| {
        shared
            .control
            .with_presence(|presence| presence.has_ended(v))
    };
    let remove: Vec<Voter> = voters
        .iter()
        .filter(|v| retired.contains(v) || ended(v))
        .cloned()
        .collect();
    let add: Vec<Voter> = running
        .into_iter()
        .filter(|r| !voters.contains(r) && !retired.contains(r) && !ended(r))
        .collect();
    if add.is_empty() && remove.is_empty() {
        return None;
    }
    let rank = voters
        .iter()
        .filter(|v| !remove.contains(v))
        .position(|v| v == own);
    Some(Change {
        add,
        remove,
        rank: rank.unwrap_or(MAX_RANK).min(MAX_RANK),
    })
}
