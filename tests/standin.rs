//! Checks that the stand-ins behave as their documentation says, since other tests rely on it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coriandernotch::clock::Instant;
use coriandernotch::standin::target::{Ending, Mode, Overflow, REQUEST_ID, SLOTS};
use coriandernotch::standin::worker::{
    Behaviour, Command, Machine, Need, Order, Refusal, Report, Status,
};
use coriandernotch::standin::{Target, Worker};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::handshake;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Sends one request on a fresh connection and reads the whole answer.
async fn post(
    address: std::net::SocketAddr,
    path: &str,
    id: &str,
    body: &str,
) -> Result<(StatusCode, String, Bytes), hyper::Error> {
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut sender, connection) = handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let request = Request::post(path)
        .header("host", "target")
        .header(REQUEST_ID, id)
        .body(Full::new(Bytes::from(body.to_owned())))
        .unwrap();
    let answer = sender.send_request(request).await?;
    let status = answer.status();
    let label = answer.headers().get(REQUEST_ID);
    let label = label.map_or("", |v| v.to_str().unwrap()).to_owned();
    Ok((
        status,
        label,
        answer.into_body().collect().await?.to_bytes(),
    ))
}

async fn target() -> (Arc<Target>, std::net::SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let target = Target::new();
    tokio::spawn(target.serve(listener));
    (target, address)
}

/// Guards against a mode that looks right to the caller but records the wrong number of runs.
#[tokio::test]
async fn target_modes() {
    // Mode, status of a whole answer or None, runs recorded.
    let cases = [
        (Mode::Normal, Some(200), 1),
        (Mode::Fail, Some(500), 1),
        (Mode::Truncate, None, 1),
        (Mode::Close, None, 1),
        (Mode::Slow, Some(200), 1),
        (Mode::Leaving, Some(503), 0),
    ];
    for (mode, status, runs) in cases {
        let (target, address) = target().await;
        target.set_mode(mode);
        let answer = post(address, "/a", "r1", "twelve bytes").await.ok();
        assert_eq!(answer.as_ref().map(|a| a.0.as_u16()), status, "{mode}");
        assert_eq!(target.count("r1"), runs, "{mode}");
        if let Some((StatusCode::OK, id, body)) = answer {
            assert_eq!((&*id, &*body), ("r1", &b"twelve bytes"[..]), "{mode}");
        }
    }
}

/// Guards against a hanging request that is recorded as finished after its caller left.
#[tokio::test]
async fn target_records_interruption() {
    let (target, address) = target().await;
    target.set_mode(Mode::Hang);
    let call = post(address, "/a", "r1", "x");
    assert!(timeout(Duration::from_millis(100), call).await.is_err());
    while target.running() > 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    assert_eq!(target.runs()[0].ending, Ending::Interrupted);
}

/// Guards against a target that runs more than its slots.
#[tokio::test]
async fn target_slots() {
    for (overflow, whole) in [(Overflow::Refuse, SLOTS), (Overflow::Wait, 12)] {
        let (target, address) = target().await;
        target.set_overflow(overflow);
        target.set_service_time(Duration::from_millis(200));
        let calls = (0..12).map(|n| {
            let id = format!("r{n}");
            async move { post(address, "/a", &id, "x").await.unwrap().0 }
        });
        let answers = futures_util::future::join_all(calls).await;
        let ok = answers.iter().filter(|s| **s == StatusCode::OK).count();
        assert_eq!((ok, target.peak()), (whole, SLOTS), "{overflow:?}");
        assert_eq!(target.refused(), 12 - whole as u64, "{overflow:?}");
    }
}

fn order(token: u64, cpus: u32) -> Order {
    let need = Need {
        milli_cpus: cpus,
        ..Need::default()
    };
    Order {
        shard: "q".into(),
        token,
        lease_ms: 1000,
        need,
        real: need,
        run_ms: 3000,
    }
}

fn at(ms: u64) -> Instant {
    Instant::from_start(Duration::from_millis(ms))
}

fn machine() -> Machine {
    Machine::new(Need {
        milli_cpus: 1000,
        ..Need::default()
    })
}

/// Guards against orders of a former shard holder that still take effect.
#[test]
fn worker_rejects_older_tokens() {
    let mut m = machine();
    assert_eq!(m.run("a", order(5, 100), at(0)), Ok(true));
    assert_eq!(m.run("b", order(4, 100), at(1)), Err(Refusal::Older(5)));
    assert_eq!(
        m.command("a", 4, Command::Stop, at(1)),
        Err(Refusal::Older(5))
    );
    assert_eq!(m.run("a", order(6, 100), at(2)), Ok(false));
    assert_eq!(
        m.command("a", 5, Command::Stop, at(3)),
        Err(Refusal::Older(6))
    );
    assert_eq!(m.starts().len(), 1);
}

/// Guards against jobs that outlive their lease, overfill the worker or ignore orders.
#[test]
fn worker_life_of_a_job() {
    let end = |m: &mut Machine, ms| m.report(at(ms)).pop().unwrap();
    let mut m = machine();
    assert_eq!(m.run("a", order(1, 600), at(0)), Ok(true));
    assert_eq!(m.run("b", order(1, 600), at(0)), Err(Refusal::Full));
    assert_eq!(end(&mut m, 999).status, Status::Running);
    assert_eq!(end(&mut m, 1000).status, Status::Expired);
    assert_eq!(m.run("b", order(1, 600), at(1000)), Ok(true));

    let mut m = machine();
    m.run("a", order(1, 600), at(0)).unwrap();
    let renew = Command::Renew { lease_ms: 9000 };
    m.command("a", 1, renew, at(500)).unwrap();
    m.command("a", 1, Command::Throttle { percent: 50 }, at(1000))
        .unwrap();
    let wrong = Command::Throttle { percent: 0 };
    assert_eq!(m.command("a", 1, wrong, at(1000)), Err(Refusal::Malformed));
    assert_eq!(end(&mut m, 3000).done_ms, 2000);
    assert_eq!(end(&mut m, 5000).status, Status::Succeeded);

    let mut m = machine();
    m.set_behaviour(Behaviour::FailAll);
    m.run("a", order(1, 600), at(0)).unwrap();
    m.set_lag(Duration::from_secs(5));
    assert!(m.report(at(1000)).is_empty());
    assert_eq!(end(&mut m, 5000).status, Status::Failed);
}

/// Guards against a difference between the documented HTTP protocol and the server.
#[tokio::test]
async fn worker_protocol() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let worker = Worker::new(Need {
        milli_cpus: 1000,
        ..Need::default()
    });
    tokio::spawn(worker.serve(listener));
    let run = serde_json::to_string(&order(3, 600)).unwrap();
    let old = serde_json::to_string(&order(2, 600)).unwrap();
    let cases = [
        ("/jobs/a%20b", &*run, 201),
        ("/jobs/a%20b", &run, 200),
        ("/jobs/c", &run, 503),
        ("/jobs/c", &old, 409),
        ("/jobs/c", "{", 400),
        (
            "/jobs/a%20b/renew",
            r#"{"token": 3, "lease-ms": 60000}"#,
            204,
        ),
        (
            "/jobs/a%20b/throttle",
            r#"{"token": 3, "percent": 50}"#,
            204,
        ),
        ("/jobs/a%20b/throttle", r#"{"token": 3}"#, 400),
        ("/jobs/a%20b/dance", r#"{"token": 3}"#, 400),
        ("/jobs/a%20b/stop", r#"{"token": 2}"#, 409),
        ("/jobs/x/stop", r#"{"token": 3}"#, 404),
        ("/jobs/a%20b/checkpoint", r#"{"token": 3}"#, 204),
    ];
    for (path, body, status) in cases {
        let answer = post(address, path, "", body).await.unwrap();
        assert_eq!(answer.0.as_u16(), status, "{path} {body}");
    }
    let reports: Vec<Report> = worker.machine().report(coriandernotch::clock::now());
    assert_eq!(reports[0].status, Status::Checkpointed);
    assert_eq!(&*reports[0].id, "a b");
}
