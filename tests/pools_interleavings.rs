//! Two managers, lost answers and failures in any order, checked on the rows after each step.

mod bed;

use std::cell::Cell;

use bed::{Bed, pool};
use coriandernotch::pools::{
    Action, Assignment, Errand, InstanceId, Outcome, Phase, Purpose, State, Step, Tenure, settle,
};
use coriandernotch::standin::{Fault, Kind};
use quickcheck::{Gen, QuickCheck, Testable};

const POOLS: [(&str, u32, u32, u32); 3] = [("a", 16, 5, 4), ("b", 8, 2, 0), ("spare", 3, 2, 0)];

thread_local! {
    /// Drains that were checked, so that a run in which none started fails.
    static DRAINS: Cell<u32> = const { Cell::new(0) };
}

struct Race {
    bed: Bed,
    managers: [State; 2],
    /// Both start with one token, as if the lease had been given out twice.
    tenures: [Tenure; 2],
}

impl Race {
    async fn new() -> Self {
        let mut bed =
            Bed::new(&POOLS.map(|(name, size, limit, rack)| pool(name, size, limit, rack)));
        bed.found().await;
        let managers = [bed.state.clone(), bed.state.clone()];
        let tenures = [bed.tenure.clone(), bed.tenure.clone()];
        Self {
            bed,
            managers,
            tenures,
        }
    }

    async fn act(&mut self, (kind, manager, pick): (u8, u8, u8)) {
        let m = usize::from(manager % 2);
        let ids = self.managers[m].instances().count();
        let instance = InstanceId((usize::from(pick) % ids) as u32);
        let name = self.managers[m].instance(instance).name.to_string();
        let drain = |purpose| vec![Step::new(instance, Action::Drain(purpose))];
        let sights = self.bed.sights.clone();
        let steps = match kind % 16 {
            0..=4 => drain(Purpose::Reboot),
            5 | 6 => {
                let to = self.bed.pool(POOLS[usize::from(manager / 2) % 3].0);
                drain(Purpose::Move(to))
            }
            7..=9 => {
                let sight = |id| sights.get(&*self.managers[m].instance(id).name).copied();
                self.managers[m].review(self.bed.now, bed::UNIX, sight)
            }
            10 | 11 => {
                if let Some(state) = self.bed.try_load(&self.tenures[m].clone()).await {
                    self.managers[m] = state;
                }
                return;
            }
            12 => {
                let token = self.managers.iter().map(State::token).max().unwrap() + 1;
                let tenure = Tenure::new(token);
                let mut state = self
                    .bed
                    .try_load(&tenure)
                    .await
                    .expect("no torn read alone");
                let fence = state.fence().unwrap();
                if settle(&self.bed.store.client("m"), &fence).await == Outcome::Applied {
                    state.apply(self.bed.now, &fence);
                    self.managers[m] = state;
                    self.tenures[m] = tenure;
                }
                return;
            }
            13 => {
                let faults = [Fault::Refuse, Fault::Drop, Fault::Lose];
                let fault = faults[usize::from(pick) % 3];
                self.bed.store.faults().inject(Kind::Write, [fault]);
                return;
            }
            14 if pick % 4 == 0 => return self.bed.fail_rack(&name),
            _ => {
                for sight in self.bed.sights.values_mut() {
                    sight.live = true;
                    sight.incarnation += 1;
                }
                self.bed.truth(&name).running = u32::from(pick % 2);
                return;
            }
        };
        for step in steps {
            let Ok(change) = self.managers[m].draft(&[step]) else {
                continue;
            };
            let before = self.rows();
            let table = self.bed.store.client("m");
            if settle(&table, &change).await == Outcome::Applied {
                self.managers[m].apply(self.bed.now, &change);
            }
            self.check(&before);
        }
    }

    fn rows(&self) -> Vec<Assignment> {
        self.bed.rows()
    }

    fn check(&self, before: &[Assignment]) {
        self.bed.check_rows("interleaving");
        let after = self.rows();
        for (old, new) in before.iter().zip(&after) {
            let starts = old.phase == Phase::Serving && new.phase == Phase::Draining;
            let goes_on = old.phase == Phase::Draining
                && matches!(new.phase, Phase::Moving | Phase::Rebooting);
            if starts || goes_on {
                let rows = if starts { &after } else { before };
                let (_, _, limit, _) = named(&old.pool);
                let count = unavailable(rows, &old.pool);
                assert!(count <= limit, "{} has {count} of {limit} out", old.pool);
            }
            if starts {
                DRAINS.set(DRAINS.get() + 1);
            }
            if starts && new.errand == Some(Errand::Reboot) {
                check_next_rack(&after);
            }
        }
    }
}

fn named(pool: &str) -> (&'static str, u32, u32, u32) {
    *POOLS.iter().find(|(name, ..)| *name == pool).unwrap()
}

fn unavailable(rows: &[Assignment], pool: &str) -> u32 {
    // An instance that arrives is missing until it serves, and takes nothing from the pool.
    let members = rows
        .iter()
        .filter(|r| &*r.pool == pool && r.phase != Phase::Moving);
    let out = members.clone().filter(|r| r.phase != Phase::Serving);
    let missing = match pool {
        "spare" => 0,
        _ => named(pool).1.saturating_sub(members.count() as u32),
    };
    out.count() as u32 + missing
}

/// With nothing failed or missing, any rack may fail: spare instances outside it fill the gap.
fn check_next_rack(rows: &[Assignment]) {
    let disturbed = rows.iter().any(|r| r.phase == Phase::Down)
        || POOLS[..2].iter().any(|(name, size, ..)| {
            rows.iter().filter(|r| *r.pool == **name).count() < *size as usize
        });
    if disturbed {
        return;
    }
    for lost in rows.iter().map(|r| &r.rack) {
        let serving = |pool: &str| {
            let all = rows.iter().filter(|r| &*r.pool == pool && r.rack != *lost);
            all.filter(|r| r.phase == Phase::Serving).count() as u32
        };
        let (name, size, limit, _) = POOLS[0];
        let short = size.saturating_sub(serving(name)).saturating_sub(limit);
        let spare = serving("spare");
        assert!(short <= spare, "{short} short after {lost}, {spare} spare");
    }
}

/// Guards against every order of events in which an instance could end up in two pools or a
/// planned step could break a budget.
#[test]
fn no_interleaving_breaks_a_budget() {
    fn property(events: Vec<(u8, u8, u8)>) -> bool {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        runtime.block_on(async {
            let mut race = Race::new().await;
            for event in events {
                race.act(event).await;
                race.bed.check_rows("after an event");
            }
        });
        true
    }
    run(property as fn(Vec<(u8, u8, u8)>) -> bool);
    assert!(DRAINS.get() > 500, "{} drains checked", DRAINS.get());
}

fn run(property: impl Testable) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 20))
        .tests(100)
        .max_tests(100)
        .quickcheck(property);
}
