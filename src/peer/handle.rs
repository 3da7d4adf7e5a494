use std::sync::Arc;

use super::report::take_report;
use super::{Hub, Link};
use crate::clock::Instant;
use crate::config::{State, Want};
use crate::limit::Request;
use crate::wire::{Body, Fetched, Malformed};

/// What goes back to the peer.
pub(super) enum Answer {
    None,
    /// A message that stands for itself.
    Tell(Body),
    /// The reply to the message.
    Reply(Body),
}

/// Passes a message to the part that decides on it.
pub(super) fn handle(
    hub: &Arc<Hub>,
    link: &Link,
    body: Body,
    now: Instant,
) -> Result<Answer, Malformed> {
    let control = hub.control();
    control.with_presence(|presence| presence.on_message(&link.voter().name));
    match body {
        Body::Pull(_) => {
            let affirmation = control.act(now, |state| state.on_pull(now));
            Ok(Answer::Reply(Body::Affirmation((&affirmation).into())))
        }
        Body::Prepare(prepare) => {
            let ack = control.prepare(&prepare.try_into()?, now);
            hub.wants().notify_one();
            Ok(Answer::Reply(Body::Ack((&ack).into())))
        }
        Body::Commit(revision) => {
            let revision = revision.try_into()?;
            control.act(now, |state| state.on_commit(now, &revision));
            hub.wants().notify_one();
            Ok(Answer::None)
        }
        Body::Abort(operation) => {
            let operation = operation.try_into().map_err(|_| Malformed("operation"))?;
            control.act(now, |state| state.on_abort(now, operation));
            Ok(Answer::None)
        }
        Body::Fetch(fetch) => {
            let want = fetch.try_into()?;
            Ok(Answer::Reply(Body::Fetched(
                control.read(|state| find(state, want)),
            )))
        }
        Body::Borrow(borrow) => {
            let workspace = control
                .current()
                .and_then(|s| s.workspace_id(&borrow.workspace));
            Ok(lend(hub, link, borrow.to_request(workspace)?, now))
        }
        Body::Renew(renew) => Ok(lend(hub, link, renew.into(), now)),
        Body::Return(give) => Ok(lend(hub, link, give.into(), now)),
        Body::Lent(lent) => {
            let dispatcher = control.dispatcher();
            dispatcher.with_ledger(|ledger| {
                let peer = ledger.peer_id(link.voter());
                ledger.apply_reply(peer, lent.into(), now);
            });
            dispatcher.dispatch_waiting(now);
            Ok(Answer::None)
        }
        Body::Report(report) => {
            take_report(hub, link, &report, now);
            Ok(Answer::None)
        }
        Body::Retire(affirmation) => {
            let affirmation = affirmation.try_into()?;
            control.act(now, |state| state.on_retire(now, &affirmation));
            Ok(Answer::None)
        }
        Body::Work(queue) => {
            hub.signals().notify(&queue);
            Ok(Answer::None)
        }
        Body::Hello(_) | Body::Affirmation(_) | Body::Ack(_) | Body::Fetched(_) => Ok(Answer::None),
    }
}

fn lend(hub: &Hub, link: &Link, request: Request, now: Instant) -> Answer {
    let dispatcher = hub.control().dispatcher();
    let reply = dispatcher.with_ledger(|ledger| {
        let peer = ledger.peer_id(link.voter());
        ledger.handle_request(peer, request, now)
    });
    if matches!(request, Request::Return { .. }) {
        dispatcher.dispatch_waiting(now);
    }
    reply.map_or(Answer::None, |reply| Answer::Tell(Body::Lent(reply.into())))
}

/// Looks up what a peer lacks.
fn find(state: &State, want: Want) -> Fetched {
    let mut out = Fetched::default();
    match want {
        Want::Head(_) => out.head = state.revision().as_ref().map(Into::into),
        Want::Content(digest) => {
            let version = state.enforced().find(|v| v.head.digest == digest);
            out.content = version.map(|v| v.content.to_string());
        }
        Want::Pending(operation) => {
            let pending = state
                .pending()
                .iter()
                .find(|p| p.prepare.operation() == operation);
            out.pending = pending.map(|p| (&p.prepare).into());
        }
    }
    out
}
