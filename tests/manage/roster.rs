//! The roster that entry instances read, and managers that compete.

use std::time::Duration;

use coriandernotch::plans::{Calendar, Input, Manager, Turn};
use coriandernotch::platform::{Condition, Table, Write};
use coriandernotch::pools::{Assignment, Changelog, Phase, Roster, Tenure};
use coriandernotch::standin::{Kind, Store};

use super::cluster::Cluster;
use crate::bed;

async fn run_turn(bed: &bed::Bed, manager: &mut Manager, tenure: &Tenure) -> Turn {
    let sights = bed.sights.clone();
    let view = Input {
        tenure,
        calendar: &Calendar::new(bed.now, bed::UNIX),
        document: &bed.document,
        listing: &bed.listing,
        sight: &|instance| sights.get(&*instance.name).copied(),
    };
    let table = bed.store.client("m");
    manager.reconcile(bed.now, &table, view).await.unwrap()
}

/// Reads the roster, checks that it agrees with the rows, and returns the number of reads.
async fn read_and_compare(store: &std::sync::Arc<Store>, roster: &mut Roster) -> u64 {
    let before = store.counters().get(Kind::Read).total;
    roster.read(&store.client("reader"), false).await.unwrap();
    let reads = store.counters().get(Kind::Read).total - before;
    for row in store.rows(Assignment::PREFIX) {
        let name = row.key.strip_prefix(Assignment::PREFIX).unwrap();
        let row: Assignment = serde_json::from_str(&row.value).unwrap();
        let known = roster.get(name).unwrap();
        assert_eq!((&known.pool, known.phase), (&row.pool, row.phase), "{name}");
    }
    reads
}

/// Guards against a reader that misses a change by one of two managers, and against one that reads
/// all rows after a few changes.
#[tokio::test]
async fn a_roster_follows_the_rows_of_two_managers() {
    let mut bed = bed::Bed::new(&[bed::pool("a", 8, 4, 0), bed::pool("spare", 4, 2, 0)]);
    let mut managers = [1, 2].map(|token| (Manager::default(), Tenure::new(token)));
    let mut roster = Roster::default();
    let mut most_reads = 0;
    // The second manager supersedes the first, which can write nothing from then on.
    for (step, m) in [0, 0, 0, 1, 0, 1, 1, 0, 1].into_iter().enumerate() {
        let (manager, tenure) = &mut managers[m];
        run_turn(&bed, manager, tenure).await;
        let reads = read_and_compare(&bed.store, &mut roster).await;
        let scanned = reads > 1;
        let version = bed.store.row(Changelog::KEY).map_or(0, |row| row.version);
        assert_eq!(roster.version(), version, "step {step}");
        // Only the first read and the first transactions of another manager require a scan.
        assert!(
            !scanned || step < 1 || m == 1,
            "step {step} took {reads} reads"
        );
        most_reads = most_reads.max(reads);
        bed.truth(&format!("a-{step}", step = step % 8)).live = step % 2 == 1;
    }
    assert_eq!(most_reads, 2, "a scan takes two reads");
    assert!(roster.version() > 5);
}

/// Guards against an older change that overwrites the result of a later scan.
#[tokio::test]
async fn a_roster_does_not_revert_to_older_rows() {
    let mut bed = bed::Bed::new(&[bed::pool("a", 8, 4, 0), bed::pool("spare", 4, 2, 0)]);
    let (mut manager, tenure) = (Manager::default(), Tenure::new(1));
    run_turn(&bed, &mut manager, &tenure).await;
    let mut roster = Roster::default();
    read_and_compare(&bed.store, &mut roster).await;
    for live in [false, true, false] {
        bed.truth("a-0").live = live;
        run_turn(&bed, &mut manager, &tenure).await;
    }
    roster.read(&bed.store.client("r"), true).await.unwrap();
    assert_eq!(roster.get("a-0").unwrap().phase, Phase::Down);
    assert_eq!(read_and_compare(&bed.store, &mut roster).await, 1);
    assert_eq!(roster.get("a-0").unwrap().phase, Phase::Down);
}

/// Guards against two managers that each believe that they hold the lease and together drain more
/// than the budget allows.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_competing_managers_keep_the_budget() {
    let mut cluster = Cluster::start(2).await;
    let callers = cluster.start_callers();
    cluster.add_plan().await;
    // The holder reads the lease only at intervals, and continues until then.
    let table = cluster.bed.store.client("rival");
    let lease = |holder: &str| {
        let value = format!(r#"{{"holder": "{holder}", "token": 2}}"#);
        vec![Write::put("managers/pools", Condition::Any, &value)]
    };
    table.transact(lease("rival")).await.unwrap();
    let (mut manager, tenure) = (Manager::default(), Tenure::new(2));
    let snapshot = cluster.bed.nodes()[0].shared().control.current().unwrap();
    let listing = cluster.bed.instances.lock().unwrap().clone();
    let now = coriandernotch::clock::now();
    let mut complete = 0;
    for _ in 0..60 {
        let view = Input {
            tenure: &tenure,
            calendar: &Calendar::new(now, bed::UNIX),
            document: snapshot.document().unwrap(),
            listing: &listing,
            // The rival cannot observe any instance, so it orders no more than drains.
            sight: &|_| None,
        };
        let result = manager
            .reconcile(coriandernotch::clock::now(), &table, view)
            .await;
        complete += u32::from(result == Ok(Turn::Complete));
        cluster.check();
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert!(complete > 0, "the rival completed no turn");
    table.transact(lease("")).await.unwrap();
    cluster
        .wait("a reboot under the next manager", |c| {
            c.rows()
                .iter()
                .any(|(_, row)| row.maintained > 0 && row.token > 2)
        })
        .await;
    cluster.finish(callers).await;
}
