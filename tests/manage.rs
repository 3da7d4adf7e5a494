//! Pools, moves and maintenance end to end, and what entry instances know of them.

use coriandernotch::plans::{Calendar, Manager, Turn, View};
use coriandernotch::pools::{Assignment, Phase, Recent, Roster, Tenure};
use coriandernotch::standin::{Kind, Store};

mod bed;

async fn turn(bed: &bed::Bed, manager: &mut Manager, tenure: &Tenure) -> Turn {
    let sights = bed.sights.clone();
    let view = View {
        tenure,
        calendar: &Calendar::new(bed.now, bed::UNIX),
        document: &bed.document,
        listing: &bed.listing,
        sight: &|instance| sights.get(&*instance.name).copied(),
    };
    let table = bed.store.client("m");
    manager.turn(bed.now, &table, view).await.unwrap()
}

/// Checks that the roster says what the rows say, and returns the reads that it took.
async fn follow(store: &std::sync::Arc<Store>, roster: &mut Roster) -> u64 {
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

/// Guards against a reader that misses a change of one of two managers, and against one that
/// reads all rows for a few changes.
#[tokio::test]
async fn a_roster_follows_the_rows_of_two_managers() {
    let mut bed = bed::Bed::new(&[bed::pool("a", 8, 4, 0), bed::pool("spare", 4, 2, 0)]);
    let mut managers = [1, 2].map(|token| (Manager::default(), Tenure::new(token)));
    let mut roster = Roster::default();
    let mut last = 0;
    // The second manager supersedes the first, which then writes nothing more.
    for (step, m) in [0, 0, 0, 1, 0, 1, 1, 0, 1].into_iter().enumerate() {
        let (manager, tenure) = &mut managers[m];
        turn(&bed, manager, tenure).await;
        let reads = follow(&bed.store, &mut roster).await;
        let scanned = reads > 1;
        let version = bed.store.row(Recent::KEY).map_or(0, |row| row.version);
        assert_eq!(roster.version(), version, "step {step}");
        // Only the first rows and another manager's first transactions need a scan.
        assert!(
            !scanned || step < 1 || m == 1,
            "step {step} took {reads} reads"
        );
        last = last.max(reads);
        bed.truth(&format!("a-{step}", step = step % 8)).live = step % 2 == 1;
    }
    assert_eq!(last, 2, "a scan takes two reads");
    assert!(roster.version() > 5);
}

/// Guards against an older change that replaces what a later scan has shown.
#[tokio::test]
async fn a_roster_does_not_go_back() {
    let mut bed = bed::Bed::new(&[bed::pool("a", 8, 4, 0), bed::pool("spare", 4, 2, 0)]);
    let (mut manager, tenure) = (Manager::default(), Tenure::new(1));
    turn(&bed, &mut manager, &tenure).await;
    let mut roster = Roster::default();
    follow(&bed.store, &mut roster).await;
    for live in [false, true, false] {
        bed.truth("a-0").live = live;
        turn(&bed, &mut manager, &tenure).await;
    }
    roster.read(&bed.store.client("r"), true).await.unwrap();
    assert_eq!(roster.get("a-0").unwrap().phase, Phase::Down);
    assert_eq!(follow(&bed.store, &mut roster).await, 1);
    assert_eq!(roster.get("a-0").unwrap().phase, Phase::Down);
}
