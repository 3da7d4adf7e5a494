use std::sync::Arc;
use std::time::Duration;

use super::shared::{STORE_LIMIT, Shared};
use super::term::Term;
use crate::clock;
use crate::platform::api::{Fleet, Store, Transaction, wave_status};

/// Time between two rounds.
const ROUND_EVERY: Duration = Duration::from_millis(100);

/// Time that an answer about a machine may take.
const ANSWER_WITHIN: Duration = Duration::from_millis(1_000);

/// Orders the maintenance of machines that are empty, and reports waves, while this instance leads.
pub(super) async fn maintain(shared: Arc<Shared>, term: Arc<Term>) {
    let Some(address) = shared.settings.machines else {
        return;
    };
    let fleet = Fleet::new(address, &shared.settings.name);
    loop {
        tokio::time::sleep(ROUND_EVERY).await;
        let due = term.engine().upkeep_due();
        for (wave, machine) in due {
            if !term.may_order_machines(clock::now()) {
                break;
            }
            let sent = fleet
                .maintain(&machine, wave, term.token, ANSWER_WITHIN)
                .await;
            match sent {
                Ok(true) => {
                    log::info!(event = "upkeep-begun", wave, machine; "");
                    term.engine().upkeep_begun(wave, &machine, clock::now());
                }
                Ok(false) => {
                    log::warn!(event = "upkeep-refused", wave, machine; "");
                    term.engine().upkeep_refused(wave, &machine, clock::now());
                }
                Err(fault) => {
                    log::warn!(event = "upkeep-failed", wave, machine, fault:% = fault; "");
                }
            }
        }
        report(&shared, &term).await;
    }
}

async fn report(shared: &Shared, term: &Term) {
    let reports = term.engine().wave_reports();
    for (wave, complete) in reports {
        let (key, content) = wave_status(wave, complete);
        let transaction = Transaction {
            puts: vec![(Store::STATUS, key, content)],
            ..Transaction::default()
        };
        match shared.store.transact(&transaction, STORE_LIMIT).await {
            Ok(_) => term.engine().wave_reported(wave, complete),
            Err(fault) => log::warn!(event = "wave-unreported", wave, fault:% = fault; ""),
        }
    }
}
