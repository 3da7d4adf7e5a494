//! Random interleavings of the claims of two instances, with lost answers, delays and restarts.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use coriandernotch::claim::{
    ClaimRequest, Manager, Owner, Reply, Settings, Sweep, Timestamp, Verdict,
};
use coriandernotch::fleet::Digest;
use coriandernotch::standin::{Fault, Kind, Store};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// What happens to a request that got the claim.
#[derive(Clone, Copy, Debug)]
enum Outcome {
    /// The request runs and its answer is stored.
    Answered,
    /// The request runs and its answer is lost.
    Lost,
    /// The request provably does not run.
    NotRun,
}

#[derive(Clone, Debug)]
enum Step {
    /// A caller sends the request of a key to an instance, and disconnects after the timeout.
    Request {
        instance: usize,
        key: u8,
        outcome: Outcome,
        timeout_ms: u64,
    },
    /// The next call of the store fails.
    Fault(Kind, Fault),
    /// The store becomes this slow, in milliseconds.
    Delay(u64),
    /// An instance is disconnected from the store, or reconnected.
    Disconnect(usize, bool),
    /// An instance is restarted.
    Restart(usize),
    /// Both instances release their orphans.
    ReleaseOrphans,
    /// Some time passes, in milliseconds.
    Wait(u64),
    /// The claims expire after all requests have ended, and a sweep runs.
    Expire,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let instance = usize::arbitrary(g) % 2;
        let outcomes = [
            Outcome::Answered,
            Outcome::Answered,
            Outcome::Lost,
            Outcome::NotRun,
        ];
        match u8::arbitrary(g) % 20 {
            0..=9 => Step::Request {
                instance,
                key: u8::arbitrary(g) % 3,
                outcome: *g.choose(&outcomes).unwrap(),
                timeout_ms: *g.choose(&[5, 30, 600, 10_000, 10_000]).unwrap(),
            },
            10..=12 => Step::Fault(
                *g.choose(&[Kind::Write, Kind::Write, Kind::Read]).unwrap(),
                *g.choose(&[Fault::Pass, Fault::Refuse, Fault::Drop, Fault::Lose])
                    .unwrap(),
            ),
            13 => Step::Delay(*g.choose(&[0, 0, 3, 300, 1000]).unwrap()),
            14 => Step::Disconnect(instance, bool::arbitrary(g)),
            15 => Step::Restart(instance),
            16 => Step::ReleaseOrphans,
            17 | 18 => Step::Wait(*g.choose(&[0, 4, 7, 50, 2000]).unwrap()),
            _ => Step::Expire,
        }
    }
}

/// Observed runs of requests.
#[derive(Default)]
struct History {
    /// Answers of the runs of each key in each deduplication window.
    runs: BTreeMap<(u8, u64), Vec<Reply>>,
    violations: Vec<String>,
    replays: usize,
}

const INSTANCES: [&str; 2] = ["a", "b"];

fn start(store: &Arc<Store>, instance: usize, incarnation: u64) -> Arc<Manager> {
    let owner = Owner {
        instance: INSTANCES[instance].into(),
        incarnation,
    };
    let table = store.platform(INSTANCES[instance]).table;
    Arc::new(Manager::start(table, owner, Settings::share(400.0, 2)))
}

async fn request(
    manager: Arc<Manager>,
    history: Arc<Mutex<History>>,
    (key, outcome, timeout_ms): (u8, Outcome, u64),
    (number, now): (usize, Timestamp),
) {
    let ask = ClaimRequest::new("t", &key.to_string(), Digest::of(b"same"));
    let claim = timeout(Duration::from_millis(timeout_ms), manager.claim(&ask, now));
    let Ok(verdict) = claim.await else { return };
    match verdict {
        Verdict::First(ticket) => {
            if let Outcome::NotRun = outcome {
                manager.release(ticket, now).await;
                return;
            }
            let reply = Reply {
                status: 200,
                headers: vec![],
                body: number.to_string().into(),
            };
            let runs = &mut history.lock().unwrap().runs;
            runs.entry((key, now.0)).or_default().push(reply.clone());
            if let Outcome::Answered = outcome {
                tokio::spawn(async move { manager.finish(ticket, reply, now).await });
            }
        }
        Verdict::Replay(reply) => {
            let mut history = history.lock().unwrap();
            history.replays += 1;
            let replies = history.runs.get(&(key, now.0));
            if !replies.is_some_and(|replies| replies.contains(&reply)) {
                history.violations.push(format!("key {key} got {reply:?}"));
            }
        }
        Verdict::Unavailable(_) | Verdict::Running | Verdict::Unknown => {}
        Verdict::Unkept(_) | Verdict::Mismatch => {
            let violation = format!("key {key} got {verdict:?}");
            history.lock().unwrap().violations.push(violation);
        }
    }
}

async fn run_steps(steps: Vec<Step>) -> Arc<Mutex<History>> {
    let store = Store::new();
    let history = Arc::new(Mutex::new(History::default()));
    let mut incarnation = 1;
    let mut managers = [0, 1].map(|instance| start(&store, instance, incarnation));
    let mut requests = JoinSet::new();
    let mut now = Timestamp(0);
    for (number, step) in steps.into_iter().enumerate() {
        match step {
            Step::Request {
                instance,
                key,
                outcome,
                timeout_ms,
            } => {
                let parameters = (key, outcome, timeout_ms);
                let history = history.clone();
                requests.spawn(request(
                    managers[instance].clone(),
                    history,
                    parameters,
                    (number, now),
                ));
            }
            Step::Fault(kind, fault) => store.faults().inject(kind, [fault]),
            Step::Delay(ms) => store.faults().set_delay(Duration::from_millis(ms)),
            Step::Disconnect(instance, on) => store.faults().cut(INSTANCES[instance], on),
            Step::Restart(instance) => {
                incarnation += 1;
                managers[instance] = start(&store, instance, incarnation);
            }
            Step::ReleaseOrphans => {
                for manager in &managers {
                    manager.release_orphans(now).await;
                }
            }
            Step::Wait(ms) => sleep(Duration::from_millis(ms)).await,
            Step::Expire => {
                while requests.join_next().await.is_some() {}
                // Delayed writes take effect and answers are stored in the meantime.
                sleep(Duration::from_secs(120)).await;
                now = Timestamp(now.0 + 26 * 3_600_000);
                let _ = Sweep::new(store.platform("sweep").table).step(now).await;
            }
        }
    }
    while requests.join_next().await.is_some() {}
    history
}

static RUNS: AtomicUsize = AtomicUsize::new(0);
static REPLAYS: AtomicUsize = AtomicUsize::new(0);

fn runs_at_most_once(steps: Vec<Step>) -> bool {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    let history = runtime.block_on(run_steps(steps));
    let history = history.lock().unwrap();
    RUNS.fetch_add(history.runs.len(), Ordering::Relaxed);
    REPLAYS.fetch_add(history.replays, Ordering::Relaxed);
    history.violations.is_empty() && history.runs.values().all(|runs| runs.len() == 1)
}

/// Guards against an interleaving in which a request runs twice or gets the answer to another one.
#[test]
fn requests_run_at_most_once_in_random_interleavings() {
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
    // With too few runs and replays the property would hold trivially.
    assert!(
        runs > 1000 && replays > 500,
        "runs={runs} replays={replays}"
    );
}
