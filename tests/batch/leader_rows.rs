//! The rows of a leader at the target size, and what a successor makes of them.

use std::sync::Arc;

use coriandernotch::batch::{
    Engine, Leader, LeaderPart, LeaderRows, MAX_ROW_BYTES, MAX_TRANSACTION_BYTES, Occupancy,
    QueueService, TaskId, Tuning, row_bytes,
};
use coriandernotch::clock::Instant;
use quickcheck::quickcheck;

use crate::simulation::{Simulation, config, profile, record, step};

/// The target size.
const WORKERS: usize = 2_300;
const POOLS: usize = 45;
const QUEUES: usize = 150;

/// Rows of a transaction that are left for the changes of members and the condition.
const OTHER_ENTRIES: usize = 81;

fn name(kind: &str, number: usize) -> Arc<str> {
    format!("{kind}-{number:05}").into()
}

fn occupancy(number: usize, tasks: u32) -> Occupancy {
    let task = |index| TaskId {
        job: "5c0e7a21d94b36f8".into(),
        occurrence: 0,
        step: 2,
        index,
    };
    Occupancy {
        worker: format!("worker-{number:05}-1700000000000").into(),
        service: name("service", number % POOLS),
        machine: name("machine", number),
        born_ms: 1_700_000_000_000,
        silent: true,
        lease_ms: 6_450,
        tasks: (0..tasks).map(task).collect(),
        unknown: false,
    }
}

/// Builds the largest leader: all machines are lent and were maintained in one of two waves, all
/// queues have moved.
fn largest_leader(busy: Vec<Occupancy>) -> Leader {
    let machines = |from: usize| (from..WORKERS).step_by(2).map(|n| name("machine", n));
    Leader {
        holder: "entry".into(),
        token: 9,
        renewal: 77,
        busy,
        pending: (0..QUEUES).map(|n| (name("queue", n), 1_000_000)).collect(),
        queue_services: (0..QUEUES)
            .map(|n| QueueService {
                queue: name("queue", n),
                service: name("service", n % POOLS),
            })
            .collect(),
        homes: (0..WORKERS)
            .map(|n| (name("machine", n), name("service", n % POOLS)))
            .collect(),
        maintained: vec![(1, machines(0).collect()), (2, machines(1).collect())],
        ..Leader::default()
    }
}

/// Guards against a leader row that the store refuses, so that all renewals fail.
#[test]
fn the_rows_of_the_largest_leader_fit() {
    let mut busy: Vec<Occupancy> = (0..WORKERS / 3).map(|n| occupancy(n, 30)).collect();
    Occupancy::shrink(&mut busy, Tuning::default().silent_list_bytes);
    let workers = busy.iter().map(|row| &row.worker);
    assert_eq!(workers.count(), WORKERS / 3);
    let leader = largest_leader(busy);
    let LeaderRows { owner, mut parts } = LeaderRows::divide(&leader);
    assert!(row_bytes(&owner) <= MAX_ROW_BYTES);
    assert!(parts.iter().all(|part| row_bytes(part) <= MAX_ROW_BYTES));
    let bytes: usize = parts.iter().map(row_bytes).sum();
    assert!(bytes + row_bytes(&owner) <= MAX_TRANSACTION_BYTES / 2);
    assert!(1 + 2 * parts.len() + OTHER_ENTRIES <= 100);
    parts.reverse();
    assert_eq!(LeaderRows::join(&owner, &parts), Some(leader));
}

/// Guards against one worker with so many tasks that no row takes its entry: all renewals, and the
/// resignation, were refused.
#[test]
fn a_worker_with_many_tasks_fits_into_a_row() {
    let mut busy = vec![occupancy(0, 3), occupancy(1, 5_000), occupancy(2, 3)];
    Occupancy::shrink(&mut busy, MAX_TRANSACTION_BYTES);
    let tasks: Vec<usize> = busy.iter().map(|worker| worker.tasks.len()).collect();
    assert_eq!(
        tasks,
        [3, 0, 3],
        "only the one that does not fit is shortened"
    );
    assert!(busy[1].unknown, "any task may run there");
    let LeaderRows { owner, parts } = LeaderRows::divide(&largest_leader(busy));
    assert!(row_bytes(&owner) <= MAX_ROW_BYTES);
    assert!(parts.iter().all(|part| row_bytes(part) <= MAX_ROW_BYTES));
}

/// Guards against a successor that takes parts of two lists as one: a worker that is in neither would
/// count as one without runs (rule TWICE).
#[test]
fn parts_of_two_writes_are_not_joined() {
    let leader = largest_leader((0..500).map(|n| occupancy(n, 3)).collect());
    let rows = LeaderRows::divide(&leader);
    let later = LeaderRows::divide(&Leader {
        renewal: 78,
        ..leader.clone()
    });
    let successor = LeaderRows::divide(&Leader {
        token: 10,
        ..leader.clone()
    });
    for other in [&later, &successor] {
        let mut mixed = rows.parts.clone();
        mixed[0] = other.parts[0].clone();
        assert_eq!(LeaderRows::join(&rows.owner, &mixed), None);
        let both: Vec<LeaderPart> = other.parts.iter().chain(&rows.parts).cloned().collect();
        assert_eq!(LeaderRows::join(&rows.owner, &both), Some(leader.clone()));
    }
}

/// Guards against a change of the row of a usual leader: instances of older versions read it during a
/// rolling restart.
#[test]
fn a_short_list_stays_in_the_leader_row() {
    let leader = Leader {
        busy: (0..20).map(|n| occupancy(n, 30)).collect(),
        ..Leader::default()
    };
    let rows = LeaderRows::divide(&leader);
    assert_eq!((rows.owner, rows.parts.len()), (leader, 0));
}

/// Guards against a list of silent workers without a bound, and against one that leaves out a worker
/// that the successor does not know otherwise.
#[test]
fn the_list_of_silent_workers_is_bounded() {
    let tuning = Tuning {
        silent_list_bytes: 10_000,
        ..Tuning::default()
    };
    let mut sim = Simulation::new(2, config());
    sim.engine = Engine::new(tuning, 2, Arc::new(config()));
    for number in 0..100 {
        sim.add(profile(&format!("i-{number}"), "s"));
    }
    sim.run(50);
    while !sim.renew().added.is_empty() {}
    sim.accept("j", record(vec![step(300)]));
    sim.run_ms = 60_000;
    sim.run(100);
    let workers = sim.workers.values_mut();
    workers.for_each(|worker| worker.silent = true);
    sim.run(1_500);
    let everyone = sim.engine.list_busy_workers(sim.now);
    assert_eq!(everyone.len(), 100);
    let leader = Leader::default().renewed(&mut sim.engine, 0, sim.now);
    let bytes: usize = leader.busy.iter().map(|row| row_bytes(row) + 1).sum();
    assert!(bytes <= tuning.silent_list_bytes, "{bytes}");
    assert!((40..100).contains(&leader.busy.len()));
    let changes = sim.engine.take_member_changes();
    assert!(changes.removed.is_empty(), "the others stay members");
}

/// Guards against leaving out workers that are no members: the successor would take them as ones
/// without runs.
#[test]
fn workers_that_are_no_members_stay_listed() {
    let mut sim = Simulation::new(2, config());
    let inherited: Vec<Occupancy> = (0..WORKERS).map(|n| occupancy(n, 8)).collect();
    sim.engine.inherit(&inherited, true, Instant::default());
    let leader = Leader::default().renewed(&mut sim.engine, 0, Instant::default());
    assert_eq!(leader.busy.len(), WORKERS);
    assert!(leader.busy.iter().all(|row| row.unknown));
    let rows = LeaderRows::divide(&largest_leader(leader.busy));
    let bytes: usize = rows.parts.iter().map(row_bytes).sum();
    assert!(bytes + row_bytes(&rows.owner) <= MAX_TRANSACTION_BYTES);
}

quickcheck! {
    fn a_divided_leader_is_joined_again(sizes: (u8, u8, u8), limit: u16) -> bool {
        let all = largest_leader((0..sizes.0.into()).map(|n| occupancy(n, 2)).collect());
        let leader = Leader {
            homes: all.homes.into_iter().take(sizes.1.into()).collect(),
            maintained: vec![(4, all.maintained[0].1[..sizes.2.into()].to_vec()), (5, Vec::new())],
            busy: all.busy,
            pending: all.pending,
            queue_services: all.queue_services,
            ..Leader::default()
        };
        let rows = LeaderRows::divide_into(&leader, limit.into());
        LeaderRows::join(&rows.owner, &rows.parts) == Some(leader)
    }
}
