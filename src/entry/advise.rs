use std::sync::Arc;
use std::time::Duration;

use super::shared::Shared;
use super::term::Term;
use crate::clock;
use crate::platform::api::Adviser;

/// Delay before the next attempt when no advice is needed or a call failed.
const IDLE_INTERVAL: Duration = Duration::from_millis(40);

/// Time that a response may take beyond the declared time.
const RESPONSE_MARGIN: Duration = Duration::from_millis(800);

/// Asks the advice service which workers may run steps whose queues require advice, while this
/// instance leads.
pub(super) async fn advise(shared: Arc<Shared>, term: Arc<Term>) {
    let Some(address) = shared.settings.advice else {
        return;
    };
    let adviser = Adviser::new(address);
    loop {
        let question = term.engine().next_question(clock::now());
        let Some(question) = question else {
            tokio::time::sleep(IDLE_INTERVAL).await;
            continue;
        };
        let timeout = question.expected_time + RESPONSE_MARGIN;
        let sent = clock::now();
        match adviser
            .request_tickets(&question.task, &question.workers, timeout)
            .await
        {
            Ok((usable, validity)) => {
                term.engine()
                    .record_tickets(&question, &usable, sent + validity, clock::now());
                term.placement_wake.notify_one();
            }
            Err(fault) => {
                log::warn!(event = "advice-failed", fault:% = fault; "");
                tokio::time::sleep(IDLE_INTERVAL).await;
            }
        }
    }
}
