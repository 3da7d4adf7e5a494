//! What errors tell, the age of the list and the counts of calls.

use std::time::Duration;

use bytes::Bytes;
use coriandernotch::platform::{Condition, Instance, State};
use coriandernotch::standin::{Fault, Kind, Store};
use tokio::time::{Instant, sleep};

use super::transport::{TRANSPORTS, Transport, connect, error_kind, put};

/// A fault of the store and its expected effect on a write and a read.
struct FaultCase {
    name: &'static str,
    /// Sets the fault.
    set_fault: fn(&Store),
    /// Expected error of a write.
    write_error: Option<&'static str>,
    /// Whether the write is expected to take effect.
    takes_effect: bool,
    /// Expected error of a read.
    read_error: Option<&'static str>,
}

const UNAVAILABLE: Option<&str> = Some("unavailable");
const UNKNOWN: Option<&str> = Some("unknown");

#[rustfmt::skip]
const FAULT_CASES: [FaultCase; 8] = [
    FaultCase { name: "none", set_fault: |_| {}, write_error: None, takes_effect: true, read_error: None },
    FaultCase { name: "outage", set_fault: |s| s.faults().set_outage(true), write_error: UNAVAILABLE, takes_effect: false, read_error: UNAVAILABLE },
    FaultCase { name: "slow", set_fault: |s| s.faults().set_delay(Duration::from_millis(300)), write_error: None, takes_effect: true, read_error: None },
    FaultCase { name: "too slow", set_fault: |s| s.faults().set_delay(Duration::from_millis(1100)), write_error: UNKNOWN, takes_effect: true, read_error: UNAVAILABLE },
    FaultCase { name: "lost after effect", set_fault: |s| inject(s, Fault::Lose), write_error: UNKNOWN, takes_effect: true, read_error: UNAVAILABLE },
    FaultCase { name: "dropped before effect", set_fault: |s| inject(s, Fault::Drop), write_error: UNKNOWN, takes_effect: false, read_error: UNAVAILABLE },
    FaultCase { name: "refused", set_fault: |s| inject(s, Fault::Refuse), write_error: UNAVAILABLE, takes_effect: false, read_error: UNAVAILABLE },
    FaultCase { name: "cut", set_fault: |s| s.faults().cut("a", true), write_error: UNKNOWN, takes_effect: false, read_error: UNAVAILABLE },
];

/// Guards against a write that took effect but is reported as having no effect, and against refused
/// writes that take effect.
#[tokio::test]
async fn errors_tell_whether_a_write_took_effect() {
    let checks = TRANSPORTS
        .iter()
        .flat_map(|via| FAULT_CASES.iter().map(|case| check_fault(*via, case)));
    futures_util::future::join_all(checks).await;
}

async fn check_fault(via: Transport, case: &FaultCase) {
    let name = case.name;
    let store = Store::new();
    let platform = connect(via, &store, "a").await;
    let other = connect(via, &store, "b").await;
    // Opens a connection before the fault is set.
    platform.table.read("warm".into()).await.unwrap();
    (case.set_fault)(&store);
    let start = Instant::now();
    let result = platform
        .table
        .transact(vec![put("k", Condition::Absent)])
        .await;
    assert_eq!(
        result.as_ref().err().map(error_kind),
        case.write_error,
        "{via:?} {name}: {result:?}"
    );
    assert!(
        start.elapsed() < Duration::from_millis(1300),
        "{via:?} {name}"
    );
    let result = platform.objects.put("o".into(), Bytes::new()).await;
    assert_eq!(
        result.as_ref().err().map(error_kind),
        case.write_error,
        "{via:?} {name}"
    );
    let result = platform.table.read("k".into()).await;
    assert_eq!(
        result.as_ref().err().map(error_kind),
        case.read_error,
        "{via:?} {name}"
    );
    let result = platform.listing.instances().await;
    assert_eq!(
        result.as_ref().err().map(error_kind),
        case.read_error,
        "{via:?} {name}"
    );
    sleep(Duration::from_millis(250)).await;
    assert_eq!(
        store.row("k").is_some(),
        case.takes_effect,
        "{via:?} {name}"
    );
    if name == "cut" {
        other.table.read("k".into()).await.unwrap();
    }
    store.faults().clear();
    platform.table.read("k".into()).await.unwrap();
}

/// Injects each fault twice, since the HTTP client repeats a read once on a new connection.
fn inject(store: &Store, fault: Fault) {
    for kind in [Kind::Read, Kind::Write, Kind::Object, Kind::List] {
        store.faults().inject(kind, [fault, fault]);
    }
}

/// Guards against a stand-in that lists the current instances although its list should be stale.
#[tokio::test]
async fn list_is_as_stale_as_configured() {
    let instance = |state| Instance {
        name: "t1".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "north".into(),
        rack: "r1".into(),
        incarnation: 0,
        state,
    };
    for via in TRANSPORTS {
        let store = Store::new();
        let listing = connect(via, &store, "a").await.listing;
        assert_eq!(listing.instances().await.unwrap(), []);
        store.set_instances(vec![instance(State::Live)]);
        sleep(Duration::from_millis(60)).await;
        store.set_instances(vec![instance(State::Leaving)]);
        for (age, state) in [(0, State::Leaving), (50, State::Live)] {
            store.faults().set_list_age(Duration::from_millis(age));
            let list = listing.instances().await.unwrap();
            assert_eq!(list, [instance(state)], "{via:?} age {age} ms");
        }
    }
}

/// Guards against calls that are missing from the call counters of the store.
#[tokio::test]
async fn all_calls_are_counted() {
    for via in TRANSPORTS {
        let store = Store::new();
        let platform = connect(via, &store, "a").await;
        let writes = vec![put("a", Condition::Any), put("b", Condition::Any)];
        for _ in 0..3 {
            platform.table.transact(writes.clone()).await.unwrap();
        }
        platform.table.read("a".into()).await.unwrap();
        platform.table.scan("".into(), "".into(), 9).await.unwrap();
        platform
            .objects
            .put("o".into(), Bytes::new())
            .await
            .unwrap();
        platform.listing.instances().await.unwrap();
        store.faults().set_outage(true);
        platform.table.transact(writes).await.unwrap_err();
        let totals = [Kind::Write, Kind::Read, Kind::Object, Kind::List]
            .map(|kind| store.counters().get(kind).total);
        assert_eq!(totals, [4, 2, 1, 1], "{via:?}");
        assert_eq!(store.counters().rows().total, 8, "{via:?}");
        assert!(store.counters().get(Kind::Write).peak >= 2, "{via:?}");
    }
}
