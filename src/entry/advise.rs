use std::sync::Arc;
use std::time::Duration;

use super::shared::Shared;
use super::term::Term;
use crate::clock;
use crate::platform::api::Adviser;

/// Time between two rounds without questions.
const ROUND_EVERY: Duration = Duration::from_millis(40);

/// Time beyond the declared one that an answer may take.
const SLACK: Duration = Duration::from_millis(800);

/// Asks which workers may run steps whose queues need advice, while this instance leads.
pub(super) async fn advise(shared: Arc<Shared>, term: Arc<Term>) {
    let Some(address) = shared.settings.advice else {
        return;
    };
    let adviser = Adviser::new(address);
    loop {
        let question = term.engine().next_question(clock::now());
        let Some(question) = question else {
            tokio::time::sleep(ROUND_EVERY).await;
            continue;
        };
        let limit = question.takes + SLACK;
        let sent = clock::now();
        match adviser.ask(&question.task, &question.workers, limit).await {
            Ok((good, valid)) => {
                term.engine().advised(&question, &good, sent + valid);
                term.placeable.notify_one();
            }
            Err(fault) => {
                log::warn!(event = "advice-failed", fault:% = fault; "");
                tokio::time::sleep(ROUND_EVERY).await;
            }
        }
    }
}
