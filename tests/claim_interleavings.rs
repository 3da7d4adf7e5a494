//! Random interleavings of two instances with lost answers, delays and restarts.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use coriandernotch::claim::{Ask, Manager, Owner, Reply, Settings, Stamp, Sweep, Verdict};
use coriandernotch::fleet::Digest;
use coriandernotch::standin::{Fault, Kind, Store};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// What happens to the request after its claim was won.
#[derive(Clone, Copy, Debug)]
enum Fate {
    /// It runs and its answer is stored.
    Answered,
    /// It runs and its answer is lost.
    Lost,
    /// It provably does not run.
    NotRun,
}

#[derive(Clone, Debug)]
enum Step {
    /// A caller asks an instance to run the request of a key and leaves after some time.
    Ask {
        at: usize,
        key: u8,
        fate: Fate,
        patience: u64,
    },
    /// The next call of the store fails.
    Fault(Kind, Fault),
    /// The store becomes this slow, in milliseconds.
    Delay(u64),
    /// An instance is cut off the store or reconnected.
    Cut(usize, bool),
    /// An instance is replaced by a new start of it.
    Restart(usize),
    /// Instances release what they abandoned.
    Release,
    /// Time passes, in milliseconds.
    Wait(u64),
    /// The window passes after all requests have ended, and claims are swept.
    Age,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let at = usize::arbitrary(g) % 2;
        let fates = [Fate::Answered, Fate::Answered, Fate::Lost, Fate::NotRun];
        match u8::arbitrary(g) % 20 {
            0..=9 => Step::Ask {
                at,
                key: u8::arbitrary(g) % 3,
                fate: *g.choose(&fates).unwrap(),
                patience: *g.choose(&[5, 30, 600, 10_000, 10_000]).unwrap(),
            },
            10..=12 => Step::Fault(
                *g.choose(&[Kind::Write, Kind::Write, Kind::Read]).unwrap(),
                *g.choose(&[Fault::Pass, Fault::Refuse, Fault::Drop, Fault::Lose])
                    .unwrap(),
            ),
            13 => Step::Delay(*g.choose(&[0, 0, 3, 300, 1000]).unwrap()),
            14 => Step::Cut(at, bool::arbitrary(g)),
            15 => Step::Restart(at),
            16 => Step::Release,
            17 | 18 => Step::Wait(*g.choose(&[0, 4, 7, 50, 2000]).unwrap()),
            _ => Step::Age,
        }
    }
}

/// Runs of each key in each window, with the answers that may be given for it.
#[derive(Default)]
struct Ledger {
    runs: BTreeMap<(u8, u64), Vec<Reply>>,
    wrong: Vec<String>,
    replays: usize,
}

const NAMES: [&str; 2] = ["a", "b"];

fn start(store: &Arc<Store>, at: usize, incarnation: u64) -> Arc<Manager> {
    let owner = Owner {
        instance: NAMES[at].into(),
        incarnation,
    };
    let table = store.platform(NAMES[at]).table;
    Arc::new(Manager::start(table, owner, Settings::share(400.0, 2)))
}

async fn request(
    manager: Arc<Manager>,
    ledger: Arc<Mutex<Ledger>>,
    (key, fate, patience): (u8, Fate, u64),
    (number, now): (usize, Stamp),
) {
    let ask = Ask::new("t", &key.to_string(), Digest::of(b"same"));
    let claim = timeout(Duration::from_millis(patience), manager.claim(&ask, now));
    let Ok(verdict) = claim.await else { return };
    match verdict {
        Verdict::First(ticket) => {
            if let Fate::NotRun = fate {
                manager.release(ticket, now).await;
                return;
            }
            let reply = Reply {
                status: 200,
                headers: vec![],
                body: number.to_string().into(),
            };
            let runs = &mut ledger.lock().unwrap().runs;
            runs.entry((key, now.0)).or_default().push(reply.clone());
            if let Fate::Answered = fate {
                tokio::spawn(async move { manager.finish(ticket, reply, now).await });
            }
        }
        Verdict::Replay(reply) => {
            let mut ledger = ledger.lock().unwrap();
            ledger.replays += 1;
            let known = ledger.runs.get(&(key, now.0));
            if !known.is_some_and(|replies| replies.contains(&reply)) {
                ledger.wrong.push(format!("key {key} got {reply:?}"));
            }
        }
        Verdict::Unavailable(_) | Verdict::Running | Verdict::Unknown => {}
        Verdict::Unkept(_) | Verdict::Mismatch => {
            let wrong = format!("key {key} got {verdict:?}");
            ledger.lock().unwrap().wrong.push(wrong);
        }
    }
}

async fn play(steps: Vec<Step>) -> Arc<Mutex<Ledger>> {
    let store = Store::new();
    let ledger = Arc::new(Mutex::new(Ledger::default()));
    let mut incarnation = 1;
    let mut managers = [0, 1].map(|at| start(&store, at, incarnation));
    let mut requests = JoinSet::new();
    let mut now = Stamp(0);
    for (number, step) in steps.into_iter().enumerate() {
        match step {
            Step::Ask {
                at,
                key,
                fate,
                patience,
            } => {
                let what = (key, fate, patience);
                let ledger = ledger.clone();
                requests.spawn(request(managers[at].clone(), ledger, what, (number, now)));
            }
            Step::Fault(kind, fault) => store.faults().inject(kind, [fault]),
            Step::Delay(ms) => store.faults().set_delay(Duration::from_millis(ms)),
            Step::Cut(at, on) => store.faults().cut(NAMES[at], on),
            Step::Restart(at) => {
                incarnation += 1;
                managers[at] = start(&store, at, incarnation);
            }
            Step::Release => {
                for manager in &managers {
                    manager.release_orphans(now).await;
                }
            }
            Step::Wait(ms) => sleep(Duration::from_millis(ms)).await,
            Step::Age => {
                while requests.join_next().await.is_some() {}
                // Late effects and stored answers come to their end.
                sleep(Duration::from_secs(120)).await;
                now = Stamp(now.0 + 26 * 3_600_000);
                let _ = Sweep::new(store.platform("sweep").table).step(now).await;
            }
        }
    }
    while requests.join_next().await.is_some() {}
    ledger
}

static RUNS: AtomicUsize = AtomicUsize::new(0);
static REPLAYS: AtomicUsize = AtomicUsize::new(0);

fn runs_at_most_once(steps: Vec<Step>) -> bool {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    let ledger = runtime.block_on(play(steps));
    let ledger = ledger.lock().unwrap();
    RUNS.fetch_add(ledger.runs.len(), Ordering::Relaxed);
    REPLAYS.fetch_add(ledger.replays, Ordering::Relaxed);
    ledger.wrong.is_empty() && ledger.runs.values().all(|runs| runs.len() == 1)
}

/// Guards against an interleaving in which a request runs twice or gets a foreign answer.
#[test]
fn random_interleavings() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 8))
        .tests(600)
        .max_tests(600)
        .min_tests_passed(600)
        .quickcheck(runs_at_most_once as fn(Vec<Step>) -> bool);
    let (runs, replays) = (
        RUNS.load(Ordering::Relaxed),
        REPLAYS.load(Ordering::Relaxed),
    );
    println!("runs={runs} replays={replays}");
    // Without runs and repeats the property would hold for nothing.
    assert!(
        runs > 1000 && replays > 500,
        "runs={runs} replays={replays}"
    );
}
