use std::time::{Duration, Instant};

use coriandernotch::batch::{End, Launch, Renewal, Reply, Snapshot, TaskId};
use coriandernotch::platform::api::{
    Fault, Feed, Intent, Outcome, Precondition, Store as Client, Transaction,
    Worker as WorkerClient, decode_intent, decode_registration, decode_submission,
};
use serde_json::json;

use crate::mode::Mode;
use crate::run::Run;
use crate::standin::serve;
use crate::store::Store;
use crate::worker::Worker;

/// Timeout of calls that get a response or lose their connection.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout of calls that get no response.
const SHORT_TIMEOUT: Duration = Duration::from_millis(300);

fn put_if_version(key: &str, version: u64) -> Transaction {
    Transaction {
        part: "p".into(),
        expected: vec![Precondition {
            table: "t",
            key: key.into(),
            version,
        }],
        puts: vec![("t", key.into(), b"{}".to_vec())],
        deletes: Vec::new(),
    }
}

/// A fault that is classified wrongly reports an applied write as refused or repeats it.
#[tokio::test]
async fn reports_whether_a_write_may_have_been_applied() {
    for (mode, timeout, harmless, applied) in [
        (Mode::Unavailable, TIMEOUT, true, false),
        (Mode::RateLimited, TIMEOUT, true, false),
        (Mode::ResponseLost, TIMEOUT, false, true),
        (Mode::Unresponsive, SHORT_TIMEOUT, false, false),
        (Mode::AppliedLate, TIMEOUT, false, true),
    ] {
        let store = Store::default();
        let client = Client::new(store.start().await);
        store.set_mode(mode);
        let fault = client
            .transact(&put_if_version("k", 0), timeout)
            .await
            .unwrap_err();
        assert_eq!(fault.had_no_effect(), harmless, "{mode:?}: {fault}");
        store.set_mode(Mode::Normal);
        tokio::time::sleep(Duration::from_millis(250)).await;
        let begun = Instant::now();
        while applied && store.read("t", "k").is_none() && begun.elapsed() < TIMEOUT {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        assert_eq!(store.read("t", "k").is_some(), applied, "{mode:?}");
    }
}

/// A call to an address without a listener cannot have had an effect.
#[tokio::test]
async fn reports_that_nothing_was_sent() {
    let client = Client::new("127.0.0.1:1".parse().unwrap());
    let fault = client
        .transact(&put_if_version("k", 0), TIMEOUT)
        .await
        .unwrap_err();
    assert!(matches!(fault, Fault::Absent { .. }), "{fault}");
    assert!(fault.had_no_effect());
}

/// Without the conflicting rows, a writer cannot recognise an earlier write of its own whose
/// response was lost.
#[tokio::test]
async fn returns_the_rows_of_a_conflict() {
    let store = Store::default();
    let client = Client::new(store.start().await);
    let Outcome::Applied(version) = client
        .transact(&put_if_version("k", 0), TIMEOUT)
        .await
        .unwrap()
    else {
        panic!("the row did not exist");
    };
    let Outcome::Conflict(rows) = client
        .transact(&put_if_version("k", 0), TIMEOUT)
        .await
        .unwrap()
    else {
        panic!("the row exists");
    };
    assert_eq!((&*rows[0].key, rows[0].version), ("k", version));
}

/// Guards against a reader that stops after the first page and misses the other rows.
#[tokio::test]
async fn reads_all_pages() {
    let store = Store::default();
    for number in 0..1_203 {
        store.write("t", &format!("k{number:05}"), &json!({}));
    }
    let client = Client::new(store.start().await);
    let (rows, version) = client.read("t", "", "", "", TIMEOUT).await.unwrap();
    assert_eq!((rows.len(), version), (1_203, 1_203));
    let (rows, _) = client
        .read("t", "", "k00010", "k00012", TIMEOUT)
        .await
        .unwrap();
    assert_eq!(rows.len(), 2);
}

/// A reader whose version is older than the history of the feed would miss changes, so it must be
/// told to read the table again.
#[tokio::test]
async fn follows_changes_until_the_history_is_gone() {
    let store = Store::default();
    let client = Client::new(store.start().await);
    store.write("t", "a", &json!({"x": 1}));
    let Feed::Changes(rows, version) = client.feed("t", 0, TIMEOUT).await.unwrap() else {
        panic!("the store still has the history");
    };
    assert_eq!(rows[0].content.as_deref(), Some(&b"{\"x\":1}"[..]));
    let unchanged = client.feed("t", version, Duration::from_millis(30)).await;
    assert_eq!(unchanged.unwrap(), Feed::Changes(Vec::new(), version));
    store.write("t", "b", &json!({}));
    store.discard_history();
    assert_eq!(
        client.feed("t", version, TIMEOUT).await.unwrap(),
        Feed::Gone
    );
}

fn launch(index: u32) -> Launch {
    Launch {
        task: TaskId {
            job: "5c0e7a21d94b36f8".into(),
            occurrence: 0,
            step: 1,
            index,
        },
        number: 1,
        payload: "1000".into(),
        saved: None,
        ticket: None,
    }
}

/// Starts a run of a task with a lease of 1 s on the clock of the worker.
async fn start(client: &WorkerClient, index: u32) -> (Reply, Option<u64>) {
    let outcome = client.start(&launch(index), TIMEOUT, |_| Some(1_000)).await;
    outcome.expect("the lease is granted")
}

async fn poll(
    client: &WorkerClient,
    deadline_ms: Option<u64>,
    position: u64,
    wait: Duration,
) -> Result<Snapshot, Fault> {
    let renewal = Renewal {
        deadline_ms,
        position,
        may_wait: true,
    };
    client.poll(wait, TIMEOUT, |_| Some(renewal)).await
}

/// A worker rejects orders of an older leader and orders for another worker; the client must report
/// which of these happened.
#[tokio::test]
async fn reports_the_outcome_of_a_start() {
    let worker = Worker::new("i-1");
    let address = worker.start().await;
    let newer = WorkerClient::new(address, "i-1".into(), 5);
    assert_eq!(start(&newer, 0).await.0, Reply::Started);
    let older = WorkerClient::new(address, "i-1".into(), 4);
    assert_eq!(start(&older, 1).await.0, Reply::Fenced);
    let other = WorkerClient::new(address, "i-2".into(), 6);
    assert_eq!(start(&other, 1).await.0, Reply::Replaced);
    let unreachable = WorkerClient::new("127.0.0.1:1".parse().unwrap(), "i-1".into(), 6);
    assert_eq!(start(&unreachable, 1).await.0, Reply::Unsent);
    assert_eq!(worker.starts().len(), 1);
}

/// An end of a run that is decoded wrongly makes the leader start the task twice or never again.
#[tokio::test]
async fn reads_present_and_ended_runs() {
    let worker = Worker::new("i-1");
    let client = WorkerClient::new(worker.start().await, "i-1".into(), 1);
    start(&client, 3).await;
    let snapshot = poll(&client, Some(9_000), 0, Duration::ZERO).await.unwrap();
    assert_eq!((snapshot.running.len(), snapshot.born_ms), (1, 7));
    assert_eq!(snapshot.running[0].task, launch(3).task);
    let snapshot = poll(&client, None, 0, TIMEOUT).await.unwrap();
    assert_eq!(
        (snapshot.ended[0].position, snapshot.ended[0].how),
        (1, End::Done)
    );
    let snapshot = poll(&client, None, 1, Duration::ZERO).await.unwrap();
    assert!(snapshot.ended.is_empty());
}

/// Ends that do not fit in one answer must not count as missing; the leader would run their tasks
/// again.
#[tokio::test]
async fn reports_that_a_worker_has_more_ends() {
    let worker = Worker::new("i-1");
    let client = WorkerClient::new(worker.start().await, "i-1".into(), 1);
    worker.add_ends("5c0e7a21d94b36f8.0.0.0", 501);
    let snapshot = poll(&client, None, 0, Duration::ZERO).await.unwrap();
    assert_eq!((snapshot.ended.len(), snapshot.has_more_ends), (500, true));
    let snapshot = poll(&client, None, 500, Duration::ZERO).await.unwrap();
    assert_eq!((snapshot.ended.len(), snapshot.has_more_ends), (1, false));
}

/// A leader stops a run whose progress does not change for longer than its declared time allows. The
/// stand-in of a worker reported the same progress every 90 ms, so polls 990 ms apart showed none, and
/// the task of a run that worked was started again.
#[tokio::test(start_paused = true)]
async fn a_run_that_works_progresses_between_polls() {
    for payload in ["6000", "lasting"] {
        let run = Run::begin("t", 1, payload);
        for wait_ms in [250, 450, 990, 1_025, 1_080] {
            let before = run.percent();
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
            assert!(run.percent() > before, "{payload}: {wait_ms} ms");
        }
    }
}

/// Guards against numbers in the answers of a worker that overflow sums of the leader: its clock and
/// the number of the next run.
#[tokio::test]
async fn refuses_answers_with_impossible_numbers() {
    let task = "00000000000000a1.0.0.0";
    let valid = json!({"clockMs": 5, "running": [[task, 3, "", 5, 5]],
        "ended": [[1, task, 2, "done", ""]]});
    for (place, is_valid) in [
        ("", true),
        ("/clockMs", false),
        ("/running/0/1", false),
        ("/ended/0/0", false),
        ("/ended/0/2", false),
    ] {
        let mut answer = valid.clone();
        if !is_valid {
            *answer.pointer_mut(place).unwrap() = json!(u64::MAX);
        }
        let address = serve(move |_| std::future::ready(Some((200, answer.clone())))).await;
        let client = WorkerClient::new(address, "i-1".into(), 1);
        let snapshot = poll(&client, None, 0, Duration::ZERO).await;
        assert_eq!(snapshot.is_ok(), is_valid, "{place}");
        let (_, clock_ms) = start(&client, 3).await;
        assert_eq!(clock_ms.is_some(), place != "/clockMs", "{place}");
    }
}

/// Rows that another writer left must neither stop an instance nor count as a worker.
#[test]
fn skips_invalid_rows() {
    let valid = json!({"service": "s", "address": "10.0.0.1:80", "zone": "z", "state": "ready"});
    assert!(decode_registration("i", valid.to_string().as_bytes()).is_ok());
    for (field, value) in [
        ("service", json!(7)),
        ("address", json!("nowhere")),
        ("zone", json!(null)),
        ("state", json!("asleep")),
        ("capacity", json!("much")),
        ("labels", json!([1])),
    ] {
        let mut broken = valid.clone();
        broken[field] = value;
        assert!(
            decode_registration("i", broken.to_string().as_bytes()).is_err(),
            "{field}"
        );
    }
    assert!(decode_registration("i", &[0xff, 0x00]).is_err());
    assert_eq!(decode_intent("other/1", b"{}"), None);
    assert_eq!(decode_intent("wave/1", b"[]"), None);
    let evacuation = decode_intent("evacuate/z", b"{}");
    assert!(matches!(evacuation, Some(Intent::Out(zone)) if &*zone == "z"));
}

/// A job that is only partly understood would run something else than its caller intended.
#[test]
fn refuses_invalid_jobs() {
    for body in [
        "",
        "[]",
        "{\"spec\":\"x\"}",
        "{\"spec\":\"x\",\"steps\":[]}",
        "{\"spec\":1,\"steps\":[{\"count\":1}]}",
        "{\"spec\":\"x\",\"steps\":[{\"count\":0}]}",
        "{\"spec\":\"x\",\"steps\":[{\"count\":1,\"after\":[0]}]}",
        "{\"spec\":\"x\",\"steps\":[{\"count\":-1}]}",
    ] {
        assert!(decode_submission(body.as_bytes()).is_err(), "{body}");
    }
}

/// A deployment must be able to start a process with settings that omit optional fields.
#[test]
fn omitted_settings_have_defaults() {
    let text = r#"{"name": "e", "data-centre": "a", "callers": "127.0.0.1:1",
        "readiness": "127.0.0.1:2", "store": "127.0.0.1:3", "bounds": {"stop-ms": 400,},}"#;
    let settings = coriandernotch::entry::Settings::parse(text).unwrap();
    assert_eq!(
        (settings.bounds.stop_ms, settings.bounds.lease_ms),
        (400, 6_000)
    );
    let misspelled = text.replace("stop-ms", "stop");
    assert!(
        coriandernotch::entry::Settings::parse(&misspelled)
            .unwrap_err()
            .contains("stop")
    );
}
