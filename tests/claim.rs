//! Idempotency claims: a request never runs twice, whatever the store does.

use std::sync::Arc;
use std::time::Duration;

use coriandernotch::claim::{
    Ask, Claim, Decision, MAX_BODY, Manager, Owner, Reply, Settings, Stamp, State, Sweep, Verdict,
    WINDOW,
};
use coriandernotch::fleet::Digest;
use coriandernotch::platform::{Answer, Condition, Row, Table, Write};
use coriandernotch::standin::{Fault, Kind, Store};
use futures_util::future::join_all;
use tokio::time::{sleep, timeout};

const HOUR: u64 = 3_600_000;

fn owner(name: &str, incarnation: u64) -> Owner {
    Owner {
        instance: name.into(),
        incarnation,
    }
}

fn manager(store: &Arc<Store>, name: &str, incarnation: u64) -> Manager {
    let settings = Settings::share(200.0, 8);
    Manager::start(
        store.platform(name).table,
        owner(name, incarnation),
        settings,
    )
}

fn ask(key: &str) -> Ask {
    Ask::new("quotes", key, Digest::of(b"POST /orders"))
}

fn reply(body: &[u8]) -> Reply {
    Reply {
        status: 201,
        headers: vec![("content-type".into(), "text/plain; \u{fc}".into())],
        body: body.to_vec().into(),
    }
}

fn name(verdict: &Verdict) -> &'static str {
    match verdict {
        Verdict::First(_) => "first",
        Verdict::Replay(_) => "replay",
        Verdict::Unkept(_) => "unkept",
        Verdict::Running => "running",
        Verdict::Unknown => "unknown",
        Verdict::Mismatch => "mismatch",
        Verdict::Unavailable(_) => "unavailable",
    }
}

/// Guards against a request that runs twice or is lost for a day because of one fault.
#[tokio::test(start_paused = true)]
async fn faults_of_one_claim() {
    use Fault::{Drop, Lose, Refuse};
    struct Case {
        name: &'static str,
        fault: fn(&Store),
        /// Verdicts of the claim, then without fault of a repeat elsewhere and at the same manager.
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
        let first = a.claim(&ask("k"), Stamp(0)).await;
        store.faults().clear();
        sleep(Duration::from_secs(2)).await;
        let second = b.claim(&ask("k"), Stamp(1)).await;
        let third = a.claim(&ask("k"), Stamp(2)).await;
        let found = [&first, &second, &third].map(name);
        assert_eq!(found, case.verdicts, "{}: {first:?}", case.name);
    }
}

/// Guards against a claim that is released although its request may run, or never released.
#[tokio::test(start_paused = true)]
async fn orphans_are_released() {
    let store = Store::new();
    let (a, b) = (manager(&store, "a", 1), manager(&store, "b", 1));
    // The caller goes away while the write is under way.
    store.faults().set_delay(Duration::from_millis(500));
    let left = timeout(Duration::from_millis(100), a.claim(&ask("left"), Stamp(0))).await;
    assert!(left.is_err());
    // The answer and the read-back are lost.
    store.faults().clear();
    sleep(Duration::from_secs(1)).await;
    store.faults().inject(Kind::Write, [Fault::Lose]);
    store.faults().inject(Kind::Read, [Fault::Refuse]);
    let lost = a.claim(&ask("lost"), Stamp(0)).await;
    assert_eq!(name(&lost), "unavailable");
    let held = a.claim(&ask("held"), Stamp(0)).await;
    assert_eq!(name(&held), "first");
    let elsewhere = async |key, now| name(&b.claim(&ask(key), Stamp(now)).await);
    for key in ["left", "lost", "held"] {
        assert_eq!(elsewhere(key, 1).await, "running", "{key}");
    }
    while a.release_orphans(Stamp(2)).await > 0 {}
    for (key, wanted) in [("left", "first"), ("lost", "first"), ("held", "running")] {
        assert_eq!(elsewhere(key, 3).await, wanted, "{key}");
    }
}

/// Guards against an orphan that is forgotten before its write takes effect late.
#[tokio::test(start_paused = true)]
async fn late_orphan_is_released() {
    let store = Store::new();
    let (a, b) = (manager(&store, "a", 1), manager(&store, "b", 1));
    store.faults().set_delay(Duration::from_secs(5));
    let slow = a.claim(&ask("k"), Stamp(0)).await;
    assert_eq!(name(&slow), "unavailable");
    store.faults().clear();
    assert_eq!(a.release_orphans(Stamp(2000)).await, 1);
    sleep(Duration::from_secs(5)).await;
    assert_eq!(name(&b.claim(&ask("k"), Stamp(7000)).await), "running");
    assert_eq!(a.release_orphans(Stamp(7000)).await, 0);
    assert_eq!(name(&b.claim(&ask("k"), Stamp(7000)).await), "first");
}

/// Guards against a wrong answer for any state of the row.
#[test]
fn decisions() {
    let window = u64::try_from(WINDOW.as_millis()).unwrap();
    let done = || State::Done(reply(b"x"));
    let stop = Decision::Stop;
    let replay = || stop(Verdict::Replay(reply(b"x")));
    // State, instance, incarnation, operation, same digest, abandoned, age, decision.
    #[rustfmt::skip]
    let cases = [
        (State::Started, "a", 2, 7, true, false, 0, Decision::Ours),
        (State::Started, "a", 2, 6, true, false, 0, stop(Verdict::Running)),
        (State::Started, "a", 2, 6, true, true, 0, Decision::Replace),
        (State::Started, "a", 1, 7, true, false, 0, stop(Verdict::Unknown)),
        (State::Started, "a", 1, 7, true, true, 0, stop(Verdict::Unknown)),
        (State::Started, "b", 2, 7, true, false, 0, stop(Verdict::Running)),
        (State::Started, "b", 2, 7, true, true, 0, stop(Verdict::Running)),
        (State::Started, "b", 2, 7, false, false, 0, stop(Verdict::Mismatch)),
        (State::Started, "b", 2, 7, true, false, window - 1, stop(Verdict::Running)),
        (State::Started, "b", 2, 7, true, false, window, Decision::Replace),
        (done(), "b", 2, 7, true, false, 0, replay()),
        (done(), "a", 2, 7, true, true, 0, replay()),
        (done(), "a", 1, 1, true, false, window - 1, replay()),
        (done(), "a", 1, 1, true, false, window, Decision::Replace),
        (done(), "b", 2, 7, false, false, 0, stop(Verdict::Mismatch)),
        (State::Unkept(204), "b", 2, 7, true, false, 0, stop(Verdict::Unkept(204))),
        (State::Released, "b", 2, 7, true, false, 0, Decision::Replace),
        (State::Released, "b", 2, 7, false, false, 0, Decision::Replace),
    ];
    for (state, instance, incarnation, operation, same, abandoned, age, wanted) in cases {
        let ask = ask("k");
        let digest = if same { ask.digest } else { Digest::of(b"") };
        let claim = Claim {
            owner: owner(instance, incarnation),
            operation,
            digest,
            at: Stamp(5000),
            state,
        };
        let now = Stamp(5000 + age);
        let found = Decision::of(&claim, &ask, 7, &owner("a", 2), abandoned, now);
        assert_eq!(found, wanted, "{claim:?} abandoned={abandoned} age={age}");
    }
}

/// Guards against a conflict that fails other claims of its transaction, and against two claims
/// of one key in one transaction that both succeed.
#[tokio::test(start_paused = true)]
async fn conflicts_within_a_batch() {
    for taken in [0, 1, 5, 40] {
        let store = Store::new();
        let (a, b) = (manager(&store, "a", 1), manager(&store, "b", 1));
        let keys: Vec<_> = (0..50).map(|n| ask(&format!("k{n}"))).collect();
        let before = join_all(keys[..taken].iter().map(|k| a.claim(k, Stamp(0)))).await;
        assert!(before.iter().all(|v| name(v) == "first"));
        let spent = store.counters().get(Kind::Write).total;
        let verdicts = join_all(keys.iter().map(|k| b.claim(k, Stamp(1)))).await;
        for (n, verdict) in verdicts.iter().enumerate() {
            let wanted = if n < taken { "running" } else { "first" };
            assert_eq!(name(verdict), wanted, "{taken} taken, key {n}");
        }
        let spent = store.counters().get(Kind::Write).total - spent;
        assert!(spent <= 3, "{taken} taken cost {spent} transactions");
    }
    let store = Store::new();
    let (a, k) = (manager(&store, "a", 1), ask("k"));
    let verdicts = join_all((0..20).map(|_| a.claim(&k, Stamp(0)))).await;
    let first = verdicts.iter().filter(|v| name(v) == "first").count();
    assert_eq!(first, 1);
}

/// Guards against an answer that is lost, altered or given again although it was never stored.
#[tokio::test(start_paused = true)]
async fn stored_answers() {
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
    for (case, fault, body, wanted) in cases {
        let store = Store::new();
        let (a, b) = (manager(&store, "a", 1), manager(&store, "b", 1));
        let Verdict::First(ticket) = a.claim(&ask("k"), Stamp(0)).await else {
            panic!("{case}");
        };
        fault(&store);
        let kept = a.finish(ticket, reply(&body), Stamp(1)).await;
        assert_eq!(kept, wanted == "replay", "{case}");
        let verdict = b.claim(&ask("k"), Stamp(2)).await;
        assert_eq!(name(&verdict), wanted, "{case}");
        if let Verdict::Replay(found) = verdict {
            assert_eq!(found, reply(&body), "{case}");
        }
        let other = Ask::new("quotes", "k", Digest::of(b"other"));
        assert_eq!(b.claim(&other, Stamp(3)).await, Verdict::Mismatch, "{case}");
        let elsewhere = Ask::new("tracking", "k", Digest::of(b"other"));
        assert_eq!(name(&b.claim(&elsewhere, Stamp(3)).await), "first");
    }
}

/// Guards against a sweep that deletes a claim in force, exceeds its budget or never comes to an
/// end.
#[tokio::test(start_paused = true)]
async fn sweep() {
    let store = Store::new();
    let a = manager(&store, "a", 1);
    let mut keys: Vec<_> = (0..400).map(|n| (ask(&format!("old{n}")), 0)).collect();
    keys.extend((0..60).map(|n| (ask(&format!("new{n}")), 20 * HOUR)));
    join_all(keys.iter().map(|(k, at)| a.claim(k, Stamp(*at)))).await;
    let sweeps = ["a", "b"].map(|n| Sweep::new(store.platform(n).table));
    let mut now = 26 * HOUR;
    for second in 0..10 {
        let (reads, writes, rows) = (
            store.counters().get(Kind::Read).total,
            store.counters().get(Kind::Write).total,
            store.counters().rows().total,
        );
        // Two instances at once: the loser of the race gets a conflict and deletes nothing.
        let _ = join_all(sweeps.iter().map(|s| s.step(Stamp(now)))).await;
        let reads = store.counters().get(Kind::Read).total - reads;
        let writes = store.counters().get(Kind::Write).total - writes;
        let rows = store.counters().rows().total - rows;
        assert!(reads <= 42 && writes <= 2 && rows <= 202, "second {second}");
        now += 1000;
    }
    assert_eq!(store.rows("claims/").len(), 60);
    let stored: Vec<Claim> = store
        .rows("claims/")
        .iter()
        .map(|row| serde_json::from_str(&row.value).unwrap())
        .collect();
    assert!(stored.iter().all(|claim| claim.at == Stamp(20 * HOUR)));
}

/// Guards against a late sweep that deletes a new claim, whose version is that of the old one.
#[tokio::test(start_paused = true)]
async fn late_sweep() {
    let store = Store::new();
    let a = manager(&store, "a", 1);
    a.claim(&ask("k"), Stamp(0)).await;
    // The transaction of this sweep is held up after it has looked at the row.
    let late = Sweep::new(Arc::new(Held(store.platform("late").table)));
    let late = tokio::spawn(async move { late.step(Stamp(30 * HOUR)).await });
    sleep(Duration::from_millis(100)).await;
    let other = Sweep::new(store.platform("b").table);
    assert_eq!(other.step(Stamp(30 * HOUR)).await, Ok(1));
    let again = a.claim(&ask("k"), Stamp(30 * HOUR)).await;
    assert_eq!(name(&again), "first");
    assert!(late.await.unwrap().is_err());
    let repeat = a.claim(&ask("k"), Stamp(30 * HOUR + 1)).await;
    assert_eq!(name(&repeat), "running");
}

/// Table that sends transactions late.
struct Held(Arc<dyn Table>);

impl Table for Held {
    fn transact(&self, writes: Vec<Write>) -> Answer<'_, Vec<u64>> {
        Box::pin(async move {
            sleep(Duration::from_secs(5)).await;
            self.0.transact(writes).await
        })
    }

    fn read(&self, key: Arc<str>) -> Answer<'_, Option<Row>> {
        self.0.read(key)
    }

    fn scan(&self, prefix: Arc<str>, after: Arc<str>, limit: usize) -> Answer<'_, Vec<Row>> {
        self.0.scan(prefix, after, limit)
    }
}

/// Guards against a load beyond the budget of the store; prints the cost per call.
#[tokio::test(start_paused = true)]
async fn cost() {
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
                let Verdict::First(ticket) = manager.claim(&ask(&n.to_string()), Stamp(0)).await
                else {
                    panic!("call {n}");
                };
                let waited = start.elapsed();
                sleep(Duration::from_millis(20)).await;
                assert!(manager.finish(ticket, reply(b"made"), Stamp(1)).await);
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
        // 200 a second in the long run and a burst of 5 of each of 8 managers.
        assert!(writes.peak <= 240, "{} transactions", writes.peak);
        assert_eq!(rows.total, 2 * total);
        assert!(writes.total <= 2 * total);
    }
}

/// Guards against a row of a foreign form that is taken for a claim or overwritten.
#[tokio::test(start_paused = true)]
async fn foreign_row() {
    let store = Store::new();
    let write = Write::put(&ask("k").row, Condition::Absent, "{}");
    let table = store.platform("x").table;
    table.transact(vec![write]).await.unwrap();
    let verdict = manager(&store, "a", 1).claim(&ask("k"), Stamp(0)).await;
    assert_eq!(name(&verdict), "unavailable");
    assert_eq!(&*store.row(&ask("k").row).unwrap().value, "{}");
}
