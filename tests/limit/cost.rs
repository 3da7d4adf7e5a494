use std::fs::read_to_string;
use std::time::{Duration, Instant as Clock};

use coriandernotch::clock::Instant;
use coriandernotch::fleet::WorkspaceId;
use coriandernotch::limit::{Basis, Cap, Ledger, Reply, Report, Request, Terms, Voter};

const VOTERS: u32 = 136;
const WORKSPACES: u32 = 150;

/// Guards against time per operation or memory that grows with the fleet. The bounds are about 50
/// times the cost in a release build, so that a busy machine does not exceed them; run with
/// `--release -- --nocapture cost` to print the measured values.
#[test]
fn cost_at_the_target_size() {
    let (voters, terms) = (voters(), |version| terms(version, 1_000));
    let now = Instant::from_start(Duration::from_secs(100));
    let mut ledger = Ledger::new(voters[0].clone());
    let install = average_time(1, |_| ledger.install(&terms(1), now));
    let take = average_time(150_000, |i| {
        let permit = ledger.take(WorkspaceId(i % WORKSPACES), now).unwrap();
        ledger.check(permit, now).unwrap();
        ledger.release(permit);
    });
    let tick = average_time(100, |_| assert!(ledger.tick(now).is_empty()));
    let bytes_before = resident_bytes();
    let ledgers: Vec<Ledger> = voters[..20]
        .iter()
        .map(|v| loaded_ledger(v, &voters, now))
        .collect();
    let bytes = (resident_bytes() - bytes_before) / ledgers.len();
    let mut busy = ledgers[0].clone();
    let loans = busy.loans().count();
    let busy_tick = average_time(20, |_| drop(busy.tick(now)));
    println!("install {install:?}, take+check+give {take:?}, idle tick {tick:?}");
    println!(
        "tick with {loans} loans {busy_tick:?}; {} bytes per workspace",
        bytes / WORKSPACES as usize
    );
    assert!(take < Duration::from_micros(20), "{take:?}");
    assert!(tick < Duration::from_millis(5), "{tick:?}");
    assert!(bytes < 16 << 20, "{bytes}");
}

/// Makes a ledger with two versions, reports of all peers, and loans from peers for each workspace.
fn loaded_ledger(own: &Voter, voters: &[Voter], now: Instant) -> Ledger {
    let mut ledger = Ledger::new(own.clone());
    ledger.install(&terms(1, 1_000), now);
    ledger.install(&terms(2, 900), now);
    let running: Vec<_> = (0..WORKSPACES).map(|t| (WorkspaceId(t), 1)).collect();
    for voter in voters {
        let report = Report {
            running: running.clone(),
            ..Report::default()
        };
        let peer = ledger.peer_id(voter);
        ledger.apply_report(peer, report, now);
    }
    let basis = Basis {
        version: 2,
        pending: None,
    };
    for round in 0..20 {
        let later = now + Duration::from_millis(60 * round);
        (0..WORKSPACES).for_each(|t| ledger.set_waiting(WorkspaceId(t), 1_000, later));
        for order in ledger.borrow_requests(later) {
            if let Request::Borrow { id, amount, .. } = order.request {
                ledger.apply_reply(order.to, Reply::Loan { id, amount, basis }, later);
            }
        }
    }
    ledger
}

fn terms(version: u64, limit: u32) -> Terms {
    let cap = |i| Cap {
        workspace: WorkspaceId(i),
        name: format!("workspace-{i}").into(),
        limit,
    };
    Terms::new(
        version,
        voters(),
        (0..WORKSPACES).map(cap).collect(),
        Duration::from_secs(30),
    )
}

fn voters() -> Vec<Voter> {
    (0..VOTERS)
        .map(|i| Voter::new(&format!("entry-{i:03}"), 1))
        .collect()
}

fn average_time(count: u32, mut run: impl FnMut(u32)) -> Duration {
    let start = Clock::now();
    (0..count).for_each(&mut run);
    start.elapsed() / count
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> usize {
    let statm = read_to_string("/proc/self/statm").unwrap();
    statm.split(' ').nth(1).unwrap().parse::<usize>().unwrap() * 4_096
}
