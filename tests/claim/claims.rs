//! Claims, answers and rows.

use std::sync::Arc;
use std::time::Duration;

use coriandernotch::claim::{
    Claim, ClaimRequest, DEDUP_WINDOW, Decision, MAX_BODY, State, Timestamp, Verdict,
};
use coriandernotch::fleet::Digest;
use coriandernotch::platform::{Condition, Write};
use coriandernotch::standin::{Fault, Kind, Store};
use futures_util::future::join_all;
use tokio::time::sleep;

use super::fixture::{ask, manager, name, owner, reply};

/// Guards against a request that runs twice, or is blocked for a day, because of a fault of the store.
#[tokio::test(start_paused = true)]
async fn claim_despite_store_faults() {
    use Fault::{Drop, Lose, Refuse};
    struct Case {
        name: &'static str,
        fault: fn(&Store),
        /// Verdict of the claim, then, without the fault, of a repeat at another and at the same manager.
        verdicts: [&'static str; 3],
    }
    fn inject(s: &Store, kind: Kind, faults: &[Fault]) {
        s.faults().inject(kind, faults.iter().copied());
    }
    #[rustfmt::skip]
    let cases = [
        Case { name: "none", fault: |_| {}, verdicts: ["first", "running", "running"] },
        Case { name: "outage", fault: |s| s.faults().set_outage(true), verdicts: ["unavailable", "first", "running"] },
        Case { name: "refused", fault: |s| inject(s, Kind::Write, &[Refuse]), verdicts: ["unavailable", "first", "running"] },
        Case { name: "lost after effect", fault: |s| inject(s, Kind::Write, &[Lose]), verdicts: ["first", "running", "running"] },
        Case { name: "lost before effect", fault: |s| inject(s, Kind::Write, &[Drop]), verdicts: ["first", "running", "running"] },
        Case { name: "lost before, then after", fault: |s| inject(s, Kind::Write, &[Drop, Lose]), verdicts: ["first", "running", "running"] },
        Case { name: "lost, refused", fault: |s| inject(s, Kind::Write, &[Drop, Refuse]), verdicts: ["unavailable", "first", "running"] },
        Case { name: "lost after effect, no read", fault: |s| { inject(s, Kind::Write, &[Lose]); inject(s, Kind::Read, &[Refuse]); }, verdicts: ["unavailable", "running", "first"] },
        Case { name: "lost before effect, no read", fault: |s| { inject(s, Kind::Write, &[Drop]); inject(s, Kind::Read, &[Drop]); }, verdicts: ["unavailable", "first", "running"] },
        Case { name: "too slow", fault: |s| s.faults().set_delay(Duration::from_millis(1500)), verdicts: ["unavailable", "running", "first"] },
        Case { name: "cut", fault: |s| s.faults().cut("a", true), verdicts: ["unavailable", "first", "running"] },
    ];
    for case in cases {
        let store = Store::new();
        let (a, b) = (manager(&store, "a", 1), manager(&store, "b", 1));
        (case.fault)(&store);
        let first = a.claim(&ask("k"), Timestamp(0)).await;
        store.faults().clear();
        sleep(Duration::from_secs(2)).await;
        let second = b.claim(&ask("k"), Timestamp(1)).await;
        let third = a.claim(&ask("k"), Timestamp(2)).await;
        let verdicts = [&first, &second, &third].map(name);
        assert_eq!(verdicts, case.verdicts, "{}: {first:?}", case.name);
    }
}

/// Guards against a wrong decision for any state of the row.
#[test]
fn decision_for_each_row() {
    let window_ms = u64::try_from(DEDUP_WINDOW.as_millis()).unwrap();
    let done = || State::Done(reply(b"x"));
    let reject = Decision::Reject;
    let replay = || reject(Verdict::Replay(reply(b"x")));
    // State, instance, incarnation, operation, same digest, abandoned, age in ms, decision.
    #[rustfmt::skip]
    let cases = [
        (State::Started, "a", 2, 7, true, false, 0, Decision::Claimed),
        (State::Started, "a", 2, 6, true, false, 0, reject(Verdict::Running)),
        (State::Started, "a", 2, 6, true, true, 0, Decision::Replace),
        (State::Started, "a", 1, 7, true, false, 0, reject(Verdict::Unknown)),
        (State::Started, "a", 1, 7, true, true, 0, reject(Verdict::Unknown)),
        (State::Started, "b", 2, 7, true, false, 0, reject(Verdict::Running)),
        (State::Started, "b", 2, 7, true, true, 0, reject(Verdict::Running)),
        (State::Started, "b", 2, 7, false, false, 0, reject(Verdict::Mismatch)),
        (State::Started, "b", 2, 7, true, false, window_ms - 1, reject(Verdict::Running)),
        (State::Started, "b", 2, 7, true, false, window_ms, Decision::Replace),
        (done(), "b", 2, 7, true, false, 0, replay()),
        (done(), "a", 2, 7, true, true, 0, replay()),
        (done(), "a", 1, 1, true, false, window_ms - 1, replay()),
        (done(), "a", 1, 1, true, false, window_ms, Decision::Replace),
        (done(), "b", 2, 7, false, false, 0, reject(Verdict::Mismatch)),
        (State::Unkept(204), "b", 2, 7, true, false, 0, reject(Verdict::Unkept(204))),
        (State::Released, "b", 2, 7, true, false, 0, Decision::Replace),
        (State::Released, "b", 2, 7, false, false, 0, Decision::Replace),
    ];
    for (state, instance, incarnation, operation, same_digest, abandoned, age, expected) in cases {
        let ask = ask("k");
        let digest = if same_digest {
            ask.digest
        } else {
            Digest::of(b"")
        };
        let claim = Claim {
            owner: owner(instance, incarnation),
            operation,
            digest,
            at: Timestamp(5000),
            state,
        };
        let now = Timestamp(5000 + age);
        let decision = Decision::of(&claim, &ask, 7, &owner("a", 2), abandoned, now);
        assert_eq!(
            decision, expected,
            "{claim:?} abandoned={abandoned} age={age}"
        );
    }
}

/// Guards against a conflict that fails other claims of its transaction, and against two claims
/// of the same key in one transaction that both succeed.
#[tokio::test(start_paused = true)]
async fn conflicts_within_a_batch() {
    for taken in [0, 1, 5, 40] {
        let store = Store::new();
        let (a, b) = (manager(&store, "a", 1), manager(&store, "b", 1));
        let keys: Vec<_> = (0..50).map(|n| ask(&format!("k{n}"))).collect();
        let before = join_all(keys[..taken].iter().map(|k| a.claim(k, Timestamp(0)))).await;
        assert!(before.iter().all(|v| name(v) == "first"));
        let writes_before = store.counters().get(Kind::Write).total;
        let verdicts = join_all(keys.iter().map(|k| b.claim(k, Timestamp(1)))).await;
        for (n, verdict) in verdicts.iter().enumerate() {
            let expected = if n < taken { "running" } else { "first" };
            assert_eq!(name(verdict), expected, "{taken} taken, key {n}");
        }
        let transactions = store.counters().get(Kind::Write).total - writes_before;
        assert!(
            transactions <= 3,
            "{taken} taken cost {transactions} transactions"
        );
    }
    let store = Store::new();
    let (a, k) = (manager(&store, "a", 1), ask("k"));
    let verdicts = join_all((0..20).map(|_| a.claim(&k, Timestamp(0)))).await;
    let first = verdicts.iter().filter(|v| name(v) == "first").count();
    assert_eq!(first, 1);
}

/// Guards against an answer that is lost or altered, or replayed although it was not stored.
#[tokio::test(start_paused = true)]
async fn answers_are_stored_and_replayed() {
    type Inject = fn(&Store);
    let cases: [(&str, Inject, Vec<u8>, &str); 8] = [
        ("none", |_| {}, b"made".to_vec(), "replay"),
        ("binary", |_| {}, vec![0, 0xff, 7], "replay"),
        ("largest", |_| {}, vec![b'x'; MAX_BODY], "replay"),
        ("largest binary", |_| {}, vec![0xff; MAX_BODY], "replay"),
        ("too large", |_| {}, vec![b'x'; MAX_BODY + 1], "unkept"),
        ("too many escapes", |_| {}, vec![1; MAX_BODY], "unkept"),
        (
            "lost after effect",
            |s| s.faults().inject(Kind::Write, [Fault::Lose, Fault::Lose]),
            b"made".to_vec(),
            "replay",
        ),
        (
            "refused, lost before effect",
            |s| s.faults().inject(Kind::Write, [Fault::Refuse, Fault::Drop]),
            b"made".to_vec(),
            "replay",
        ),
    ];
    for (case, fault, body, expected) in cases {
        let store = Store::new();
        let (a, b) = (manager(&store, "a", 1), manager(&store, "b", 1));
        let Verdict::First(ticket) = a.claim(&ask("k"), Timestamp(0)).await else {
            panic!("{case}");
        };
        fault(&store);
        let is_stored = a.finish(ticket, reply(&body), Timestamp(1)).await;
        assert_eq!(is_stored, expected == "replay", "{case}");
        let verdict = b.claim(&ask("k"), Timestamp(2)).await;
        assert_eq!(name(&verdict), expected, "{case}");
        if let Verdict::Replay(replayed) = verdict {
            assert_eq!(replayed, reply(&body), "{case}");
        }
        let other_request = ClaimRequest::new("quotes", "k", Digest::of(b"other"));
        assert_eq!(
            b.claim(&other_request, Timestamp(3)).await,
            Verdict::Mismatch,
            "{case}"
        );
        let other_workspace = ClaimRequest::new("tracking", "k", Digest::of(b"other"));
        assert_eq!(
            name(&b.claim(&other_workspace, Timestamp(3)).await),
            "first"
        );
    }
}

/// Guards against more transactions than the budget of the store allows; prints the cost per call.
#[tokio::test(start_paused = true)]
async fn store_load_stays_within_budget() {
    for rate in [20u64, 200, 1000] {
        let store = Store::new();
        store.faults().set_delay(Duration::from_millis(3));
        let managers: Vec<_> = (0..8)
            .map(|n| Arc::new(manager(&store, &format!("e{n}"), 1)))
            .collect();
        let seconds = 20;
        let calls = (0..rate * seconds).map(|n| {
            let manager = managers[usize::try_from(n % 8).unwrap()].clone();
            tokio::spawn(async move {
                sleep(Duration::from_micros(n * 1_000_000 / rate)).await;
                let start = tokio::time::Instant::now();
                let Verdict::First(ticket) =
                    manager.claim(&ask(&n.to_string()), Timestamp(0)).await
                else {
                    panic!("call {n}");
                };
                let waited = start.elapsed();
                sleep(Duration::from_millis(20)).await;
                assert!(manager.finish(ticket, reply(b"made"), Timestamp(1)).await);
                waited
            })
        });
        let waited = join_all(calls.collect::<Vec<_>>()).await;
        let mut waited: Vec<_> = waited.into_iter().map(|w| w.unwrap()).collect();
        waited.sort();
        let total = rate * seconds;
        let writes = store.counters().get(Kind::Write);
        let rows = store.counters().rows();
        println!(
            "calls/s={rate} transactions/call={:.3} rows/call={:.3} peak-transactions/s={} \
             peak-rows/s={} reads={} wait-p50={:?} wait-p99={:?}",
            writes.total as f64 / total as f64,
            rows.total as f64 / total as f64,
            writes.peak,
            rows.peak,
            store.counters().get(Kind::Read).total,
            waited[waited.len() / 2],
            waited[waited.len() * 99 / 100],
        );
        // 200 per second, and a burst of 5 from each of the 8 managers.
        assert!(writes.peak <= 240, "{} transactions", writes.peak);
        assert_eq!(rows.total, 2 * total);
        assert!(writes.total <= 2 * total);
    }
}

/// Guards against a row that is not a valid claim being taken for one or overwritten.
#[tokio::test(start_paused = true)]
async fn invalid_row_is_kept() {
    let store = Store::new();
    let write = Write::put(&ask("k").row_key, Condition::Absent, "{}");
    let table = store.platform("x").table;
    table.transact(vec![write]).await.unwrap();
    let verdict = manager(&store, "a", 1).claim(&ask("k"), Timestamp(0)).await;
    assert_eq!(name(&verdict), "unavailable");
    assert_eq!(&*store.row(&ask("k").row_key).unwrap().value, "{}");
}
