use std::sync::Arc;
use std::time::Duration;

use super::shared::{STORE_TIMEOUT, Shared};
use super::term::Term;
use crate::clock::{self, Instant};
use crate::platform::api::{Fleet, Store, Transaction, wave_status};

/// Time between two rounds of orders and reports.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two reads of the list of machines.
const LIST_INTERVAL: Duration = Duration::from_secs(2);

/// Time until the list of machines is read again after a failure, or while workers with runs do not
/// answer. A new leader may wait for workers until two lists lack their machines.
const LIST_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Time that the response to a call about machines may take.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Orders moves and maintenance of empty machines and reports the progress of maintenance waves,
/// while this instance leads.
pub(super) async fn maintain(shared: Arc<Shared>, term: Arc<Term>) {
    let Some(address) = shared.settings.machines else {
        return;
    };
    let fleet = Fleet::new(address, &shared.settings.name);
    // When the list is read next, and when it may be read earlier.
    let (mut next_list, mut may_list_from) = (Instant::default(), Instant::default());
    loop {
        tokio::time::sleep(ROUND_INTERVAL).await;
        let now = clock::now();
        let must_list = now >= may_list_from && term.engine().awaits_machine_list();
        if (must_list || now >= next_list) && term.may_send_orders() {
            next_list = now + list_machines(&term, &fleet).await;
            may_list_from = now + LIST_RETRY_DELAY;
        }
        move_machines(&term, &fleet).await;
        let due = term.engine().maintenance_due();
        for (wave, machine) in due {
            let Some(until) = term.machine_orders_until(clock::now()) else {
                break;
            };
            let result = fleet
                .maintain(&machine, wave, term.token, until, RESPONSE_TIMEOUT)
                .await;
            match result {
                Ok(true) => {
                    log::info!(event = "maintenance-started", wave, machine; "");
                    term.engine()
                        .record_maintenance_start(wave, &machine, clock::now());
                }
                Ok(false) => {
                    log::warn!(event = "maintenance-refused", wave, machine; "");
                    term.engine()
                        .record_refused_maintenance(wave, &machine, clock::now());
                }
                Err(fault) => {
                    log::warn!(event = "maintenance-failed", wave, machine, fault:% = fault; "");
                }
            }
        }
        report_waves(&shared, &term).await;
    }
}

/// Reads the list of machines, and returns the time until it must be read again.
async fn list_machines(term: &Term, fleet: &Fleet) -> Duration {
    let sent = clock::now();
    match fleet.list(RESPONSE_TIMEOUT).await {
        Ok(machines) => {
            let mut engine = term.engine();
            engine.set_machines(machines);
            engine.release_runs_on_stopped_machines(sent, clock::now());
            term.placement_wake.notify_one();
            LIST_INTERVAL
        }
        Err(fault) => {
            log::warn!(event = "machine-list-failed", fault:% = fault; "");
            LIST_RETRY_DELAY
        }
    }
}

/// Moves machines to the pools that need them, one after another. The moves are planned again after
/// each order, and put off after one that fails, because workers that are to move get no starts
/// until the next plan.
async fn move_machines(term: &Term, fleet: &Fleet) {
    loop {
        let Some(until) = term.machine_orders_until(clock::now()) else {
            return term.engine().cancel_moves();
        };
        let moves = term.engine().plan_moves(clock::now());
        let Some((machine, pool)) = moves.into_iter().next() else {
            return;
        };
        let result = fleet
            .relocate(&machine, &pool, term.token, until, RESPONSE_TIMEOUT)
            .await;
        match result {
            Ok(true) => {
                log::info!(event = "machine-relocated", machine, pool; "");
                term.engine().record_move(&machine, &pool, clock::now());
            }
            Ok(false) => {
                log::warn!(event = "move-refused", machine, pool; "");
                term.engine().record_refused_move(&machine, clock::now());
            }
            Err(fault) => {
                log::warn!(event = "move-failed", machine, pool, fault:% = fault; "");
                term.engine().record_refused_move(&machine, clock::now());
                return;
            }
        }
    }
}

/// Stores the progress of the maintenance waves for operators.
async fn report_waves(shared: &Shared, term: &Term) {
    let reports = term.engine().wave_reports();
    for (wave, complete) in reports {
        let (key, content) = wave_status(wave, complete);
        let transaction = Transaction {
            puts: vec![(Store::STATUS, key, content)],
            ..Transaction::default()
        };
        match shared.store.transact(&transaction, STORE_TIMEOUT).await {
            Ok(_) => term.engine().record_wave_report(wave, complete),
            Err(fault) => log::warn!(event = "wave-report-failed", wave, fault:% = fault; ""),
        }
    }
}
