use std::sync::{Arc, Mutex, MutexGuard};

use super::{Bed, Rule, Tally};
use crate::clock::{self, Instant};
use crate::collections::Map;
use crate::pools::{Assignment, Phase, Summary};

/// Samples of the rows and of the targets, and the pools in which each instance was.
#[derive(Default)]
pub(super) struct Watch {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    last: Option<Instant>,
    rows: Map<Arc<str>, (Arc<str>, Phase)>,
    stays: Map<Arc<str>, Vec<Stay>>,
    moves: usize,
}

/// Time for which an instance may have been in a pool, as far as the samples tell.
struct Stay {
    pool: Arc<str>,
    from: Option<Instant>,
    to: Option<Instant>,
}

impl Watch {
    /// Takes one sample and checks budgets and pools.
    pub(super) fn sample(&self, bed: &Bed, tally: &Tally) {
        // One scan, so that all rows are of one moment.
        let all = bed.store.rows("");
        let rows: Map<Arc<str>, (Arc<str>, Phase)> = all
            .iter()
            .filter_map(|row| {
                let name = row.key.strip_prefix(Assignment::PREFIX)?;
                let row: Assignment = serde_json::from_str(&row.value).ok()?;
                Some((name.into(), (row.pool, row.phase)))
            })
            .collect();
        for row in &all {
            if let Some(pool) = row.key.strip_prefix(Summary::PREFIX)
                && let Ok(ledger) = serde_json::from_str(&row.value)
            {
                check_members(tally, pool, &ledger, &rows);
            }
        }
        let now = clock::now();
        let mut state = self.state();
        for pool in &bed.document.pools {
            let members = || rows.iter().filter(|(_, (name, _))| *name == pool.name);
            let limit = pool.budget.unavailable as usize;
            let off =
                members().filter(|(name, _)| bed.targets.get(*name).is_some_and(|t| !t.is_on()));
            let off = off.count();
            tally.check(Rule::Budget, off <= limit, || {
                format!("pool={} off={off} limit={limit}", pool.name)
            });
            let phase_before = |name: &Arc<str>| state.rows.get(name).map(|(_, phase)| *phase);
            let started = members().any(|(name, (_, phase))| {
                *phase == Phase::Draining && phase_before(name) == Some(Phase::Serving)
            });
            // What was down before and after the start was down when it was decided.
            let out = members().filter(|(name, (_, phase))| match phase {
                Phase::Draining | Phase::Rebooting => true,
                Phase::Down => phase_before(name) == Some(Phase::Down),
                Phase::Serving | Phase::Moving => false,
            });
            let out = out.count();
            tally.check(Rule::Budget, !started || out <= limit, || {
                format!("pool={} out={out} limit={limit}", pool.name)
            });
        }
        state.note(rows, now);
    }

    /// Returns how many instances have moved.
    pub(super) fn moves(&self) -> usize {
        self.state().moves
    }

    /// Returns whether an instance may have been in a pool at a time.
    pub(super) fn was_in(&self, instance: &str, pool: &str, at: Instant) -> bool {
        let state = self.state();
        let stays = state.stays.get(instance).into_iter().flatten();
        let mut stays = stays.filter(|stay| *stay.pool == *pool);
        stays.any(|stay| {
            stay.from.is_none_or(|from| from <= at) && stay.to.is_none_or(|to| at <= to)
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("watch lock")
    }
}

impl State {
    fn note(&mut self, rows: Map<Arc<str>, (Arc<str>, Phase)>, now: Instant) {
        for (name, (pool, _)) in &rows {
            let stays = self.stays.entry(name.clone()).or_default();
            match stays.last_mut() {
                Some(stay) if stay.pool == *pool => continue,
                Some(stay) => {
                    stay.to = Some(now);
                    self.moves += 1;
                }
                None => {}
            }
            let from = if stays.is_empty() { None } else { self.last };
            stays.push(Stay {
                pool: pool.clone(),
                from,
                to: None,
            });
        }
        self.rows = rows;
        self.last = Some(now);
    }
}

/// Checks that the row of a pool counts exactly the instances whose rows name it.
fn check_members(
    tally: &Tally,
    pool: &str,
    ledger: &Summary,
    rows: &Map<Arc<str>, (Arc<str>, Phase)>,
) {
    let members = rows.values().filter(|(name, _)| **name == *pool);
    let out = members
        .clone()
        .filter(|(_, phase)| phase.is_unavailable())
        .count();
    let found = (members.count(), out);
    let stated = (ledger.members as usize, ledger.out as usize);
    tally.check(Rule::OnePool, found == stated, || {
        format!("pool={pool} members={found:?} stated={stated:?}")
    });
}
