//! Whole turns of two managers over failures, faults of the store and operators' commands.

mod bed;

use std::cell::Cell;

use bed::{Bed, pool};
use coriandernotch::plans::{Manager, Record, Status, Turn, View, command};
use coriandernotch::pools::{Errand, Operation, Order, Phase, State, Tenure};
use coriandernotch::standin::{Fault, Kind};
use quickcheck::{Gen, QuickCheck};

thread_local! {
    /// Reboots that were begun, so that a run in which none was begun fails.
    static REBOOTS: Cell<u32> = const { Cell::new(0) };
}

struct World {
    bed: Bed,
    managers: [(Manager, Tenure); 2],
    tokens: u64,
    operations: u64,
}

impl World {
    fn new() -> Self {
        let pools = [
            pool("a", 10, 4, 4),
            pool("b", 5, 2, 0),
            pool("spare", 5, 2, 0),
        ];
        let mut bed = Bed::new(&pools);
        // Both pools are maintained; one instance has to move from the spare pool to the other.
        bed.edit(|document| {
            document.pools[1].size = 6;
            document.pools[2].size = 4;
            let plan = |pool: &str| {
                let plan = serde_json::json!({"name": pool, "pool": pool, "period-days": 21});
                serde_json::from_value(plan).unwrap()
            };
            document.plans = vec![plan("a"), plan("b")];
        });
        let managers = [1, 2].map(|token| (Manager::default(), Tenure::new(token)));
        Self {
            bed,
            managers,
            tokens: 2,
            operations: 0,
        }
    }

    async fn turn(&mut self, m: usize) -> Option<Turn> {
        let (manager, tenure) = &mut self.managers[m];
        let sights = self.bed.sights.clone();
        let view = View {
            tenure,
            calendar: &self.bed.calendar,
            document: &self.bed.document,
            listing: &self.bed.listing,
            sight: &|instance| sights.get(&*instance.name).copied(),
        };
        let table = self.bed.store.client("m");
        let turn = manager.turn(self.bed.now, &table, view).await.ok();
        // The platform may get the orders of either manager, and late ones again.
        let orders = |state: &State| {
            let orders = state.orders().filter_map(|order| match order {
                Order::Reboot {
                    instance,
                    incarnation,
                    ..
                } => Some((state.instance(instance).name.to_string(), incarnation)),
                _ => None,
            });
            orders.collect::<Vec<_>>()
        };
        for (name, incarnation) in manager.state().map(orders).unwrap_or_default() {
            let sight = self.bed.truth(&name);
            if sight.live && sight.incarnation == incarnation {
                sight.incarnation += 1;
                REBOOTS.set(REBOOTS.get() + 1);
            }
        }
        turn
    }

    async fn act(&mut self, (kind, pick): (u8, u8)) {
        let m = usize::from(pick % 2);
        let names: Vec<String> = self.bed.sights.keys().cloned().collect();
        let name = &names[usize::from(pick) % names.len()];
        match kind % 16 {
            0..=8 => {
                let before = self.bed.rows();
                self.turn(m).await;
                self.check(&before);
            }
            9 => self.bed.truth(name).running = u32::from(pick % 2),
            10 if pick < 64 => self.bed.fail_rack(name),
            10 | 11 => self.revive(),
            12 => {
                // A crash: the same process starts again and gets a newer token.
                self.tokens += 1;
                self.managers[m] = (Manager::default(), Tenure::new(self.tokens));
            }
            13 => {
                let faults = [Fault::Refuse, Fault::Drop, Fault::Lose];
                let fault = faults[usize::from(pick) % 3];
                self.bed.store.faults().inject(Kind::Write, [fault]);
            }
            14 => {
                let status = [Status::Paused, Status::Running][m];
                self.order(status).await;
            }
            _ => self.bed.now = self.bed.now + std::time::Duration::from_secs(60),
        }
    }

    fn revive(&mut self) {
        for sight in self.bed.sights.values_mut() {
            sight.live = true;
        }
    }

    async fn order(&mut self, status: Status) {
        self.operations += 1;
        let table = self.bed.store.client("operator");
        let operation = Operation(self.operations);
        // A fault meant for the manager may hit this command; a later one follows.
        let _ = command(&table, "a", status, "ana", operation).await;
    }

    fn check(&self, before: &[coriandernotch::pools::Assignment]) {
        let after = self.bed.rows();
        if after.len() == self.bed.listing.len() {
            self.bed.check_rows("after a turn");
        }
        if before.len() != after.len() {
            return;
        }
        let paused = self.bed.store.row(&Record::key("a"));
        let paused = Record::read(paused.as_ref()).unwrap().status == Status::Paused;
        for (old, new) in before.iter().zip(&after) {
            let starts = old.phase == Phase::Serving && new.phase == Phase::Draining;
            if starts && new.errand == Some(Errand::Reboot) && &*new.pool == "a" {
                assert!(!paused, "a drain started under a paused plan");
            }
            let limit = match &*old.pool {
                "a" => 4,
                _ => 2,
            };
            let members = after.iter().filter(|r| r.pool == old.pool);
            let out = members.filter(|r| r.phase != Phase::Serving && r.phase != Phase::Moving);
            assert!(!starts || out.count() <= limit, "budget of {}", old.pool);
        }
    }

    /// Ends all disturbances and lets one manager finish.
    async fn finish(&mut self) {
        self.bed.store.faults().clear();
        self.revive();
        for sight in self.bed.sights.values_mut() {
            sight.running = 0;
        }
        self.order(Status::Running).await;
        self.tokens += 1;
        self.managers[0].1 = Tenure::new(self.tokens);
        for _ in 0..150 {
            self.turn(0).await;
            self.bed.now = self.bed.now + std::time::Duration::from_secs(60);
        }
        assert_eq!(self.turn(0).await, Some(Turn::Complete));
        let state = self.managers[0].0.state().unwrap();
        let sizes: Vec<_> = state
            .pools()
            .map(|(_, p)| (p.size, p.members.len()))
            .collect();
        assert_eq!(sizes, [(10, 10), (6, 6), (4, 4)]);
        for (_, instance) in state.instances() {
            assert_eq!(instance.phase, Phase::Serving, "{}", instance.name);
        }
        for plan in self.managers[0].0.plans() {
            let progress = plan.progress(self.bed.now, &self.bed.calendar, state);
            assert_eq!(progress.done, progress.total, "{}: {progress:?}", plan.name);
        }
        // An instance is rebooted at most twice: once more only if it failed in its reboot.
        let most = self.bed.sights.values().map(|s| s.incarnation - 1).max();
        assert!(most <= Some(2), "rebooted {most:?} times");
    }
}

/// Guards against managers that race, crash or lose answers and then break a budget, ignore a
/// pause, reboot an instance again or do not finish.
#[test]
fn managers_finish_whatever_happens_on_the_way() {
    fn property(events: Vec<(u8, u8)>) -> bool {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        runtime.block_on(async {
            let mut world = World::new();
            for event in events {
                world.act(event).await;
            }
            world.finish().await;
        });
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 21))
        .tests(60)
        .max_tests(60)
        .quickcheck(property as fn(Vec<(u8, u8)>) -> bool);
    assert!(REBOOTS.get() > 500, "{} reboots", REBOOTS.get());
}

/// Guards against a manager that was replaced while it was paused and then takes over again.
#[tokio::test(start_paused = true)]
async fn a_replaced_manager_stops() {
    let mut world = World::new();
    assert_eq!(world.turn(0).await, Some(Turn::Complete));
    assert_eq!(world.turn(1).await, Some(Turn::Complete));
    // It conflicts with the newer token first, and finds it when it reads again.
    let mut turns = Vec::new();
    for _ in 0..3 {
        turns.push(world.turn(0).await.unwrap());
    }
    assert_eq!(turns[1..], [Turn::Superseded; 2]);
    world.managers[0] = (Manager::default(), Tenure::new(1));
    assert_eq!(
        world.turn(0).await,
        Some(Turn::Superseded),
        "after a restart"
    );
}
