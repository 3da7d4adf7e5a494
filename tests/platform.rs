//! Tests of the platform services that the in-process client and the HTTP client must both pass.

use std::io::{Read, Write as _};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use coriandernotch::platform::{
    Action, Command, Condition, Error, Instance, Platform, State, Table, Write, http::Client,
};
use coriandernotch::standin::{Fault, Kind, Store, Target, platform};
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

/// How a client reaches the platform services.
#[derive(Clone, Copy, Debug)]
enum Transport {
    InProcess,
    Http,
}

const TRANSPORTS: [Transport; 2] = [Transport::InProcess, Transport::Http];

async fn connect(via: Transport, store: &Arc<Store>, name: &str) -> Platform {
    match via {
        Transport::InProcess => store.platform(name),
        Transport::Http => {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let client = Arc::new(Client::new(listener.local_addr().unwrap()));
            tokio::spawn(platform::serve(listener, store.client(name)));
            Platform {
                table: client.clone(),
                objects: client.clone(),
                listing: client.clone(),
                machines: client,
            }
        }
    }
}

fn error_kind(error: &Error) -> &'static str {
    match error {
        Error::Unavailable { .. } => "unavailable",
        Error::Unknown { .. } => "unknown",
        Error::Conflict { .. } => "conflict",
    }
}

fn put(key: &str, condition: Condition) -> Write {
    Write::put(key, condition, "v")
}

/// Guards against transactions that are applied partially or although a condition fails, and
/// against conflicts that name the wrong row.
#[tokio::test]
async fn transactions_enforce_conditions() {
    use Condition::{Absent, Any, Version};
    type Case = (Vec<Write>, Result<Vec<u64>, &'static str>);
    for via in TRANSPORTS {
        let store = Store::new();
        let table = connect(via, &store, "a").await.table;
        // Each case starts from the state left by the previous cases.
        let cases: Vec<Case> = vec![
            (vec![put("a", Absent), put("b", Any)], Ok(vec![1, 1])),
            (vec![put("a", Absent)], Err("a")),
            (vec![put("c", Absent), put("b", Version(2))], Err("b")),
            (vec![put("c", Version(1))], Err("c")),
            (vec![put("a", Version(1)), put("c", Absent)], Ok(vec![2, 1])),
            (vec![Write::delete("a", Version(1))], Err("a")),
            (vec![Write::delete("a", Version(2))], Ok(vec![3])),
            (vec![put("a", Absent)], Ok(vec![1])),
            (vec![], Ok(vec![])),
        ];
        for (writes, expected) in cases {
            let result = table.transact(writes.clone()).await;
            match (result, expected) {
                (Ok(versions), Ok(wanted)) => assert_eq!(versions, wanted, "{via:?} {writes:?}"),
                (Err(Error::Conflict { key }), Err(wanted)) => assert_eq!(&*key, wanted),
                (result, wanted) => panic!("{via:?} {writes:?}: {result:?}, wanted {wanted:?}"),
            }
        }
        let row_versions: Vec<_> = store.rows("").iter().map(|r| r.version).collect();
        assert_eq!(row_versions, [1, 1, 1], "{via:?}");
    }
}

/// Guards against keys that are encoded or decoded incorrectly between client and store.
#[tokio::test]
async fn keys_with_reserved_characters() {
    let keys = [
        "claims/workspace 1/ü",
        "a?b=c&d#e",
        "100%",
        "%41",
        "a+b",
        "../x//y",
        "\"\\\n\t{}",
    ];
    for via in TRANSPORTS {
        let store = Store::new();
        let platform = connect(via, &store, "a").await;
        for key in keys {
            platform
                .table
                .transact(vec![Write::put(key, Condition::Absent, key)])
                .await
                .unwrap_or_else(|e| panic!("{via:?} {key:?}: {e}"));
            let row = platform.table.read(key.into()).await.unwrap().unwrap();
            assert_eq!((&*row.key, &*row.value), (key, key), "{via:?}");
            let rows = platform.table.scan(key.into(), "".into(), 9).await.unwrap();
            assert_eq!(rows, [row], "{via:?} {key:?}");
            let conflict = platform
                .table
                .transact(vec![put(key, Condition::Absent)])
                .await;
            let wanted = Error::Conflict { key: key.into() };
            assert_eq!(conflict, Err(wanted), "{via:?}");
            let content = Bytes::from_static(b"\0\xff");
            platform
                .objects
                .put(key.into(), content.clone())
                .await
                .unwrap();
            assert_eq!(
                platform.objects.get(key.into()).await.unwrap(),
                Some(content)
            );
        }
        assert_eq!(platform.table.read("none".into()).await.unwrap(), None);
        assert_eq!(platform.objects.get("none".into()).await.unwrap(), None);
    }
}

/// Guards against rows that are missing from or repeated in the pages of a scan.
#[tokio::test]
async fn scan_returns_each_row_once() {
    for via in TRANSPORTS {
        let store = Store::new();
        let table = connect(via, &store, "a").await.table;
        let keys: Vec<_> = (0..25).map(|n| format!("jobs/q/{n:02}")).collect();
        let mut writes: Vec<_> = keys.iter().map(|k| put(k, Condition::Absent)).collect();
        writes.extend(["jobs/p", "jobs/q", "jobs/q0", "jobs/r"].map(|k| put(k, Condition::Any)));
        table.transact(writes).await.unwrap();
        for limit in [1, 7, 25, 100] {
            let mut scanned: Vec<String> = Vec::new();
            loop {
                let after = scanned.last().map_or("", |k| k).into();
                let page = table.scan("jobs/q/".into(), after, limit).await.unwrap();
                if page.is_empty() {
                    break;
                }
                assert!(page.len() <= limit);
                scanned.extend(page.iter().map(|row| row.key.to_string()));
            }
            assert_eq!(scanned, keys, "{via:?} limit {limit}");
        }
    }
}

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

/// Starts a TCP server that runs `handle` for each connection in a separate thread, and returns a
/// client of it.
fn client_of_raw_server(handle: fn(std::net::TcpStream)) -> Client {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let stream = stream.unwrap();
            std::thread::spawn(move || handle(stream));
        }
    });
    Client::new(address)
}

/// Reads one request, all of which arrives in a single read in these tests. Returns whether there
/// was one.
fn receive(stream: &mut std::net::TcpStream) -> bool {
    let mut buffer = [0; 4096];
    matches!(stream.read(&mut buffer), Ok(n) if n > 0)
}

/// Sends a response in one write; several small writes would each wait for an acknowledgement.
fn send(stream: &mut std::net::TcpStream, head: &str, body: &str) {
    let length = body.len();
    let text = format!("HTTP/1.1 {head}\r\ncontent-length: {length}\r\n\r\n{body}");
    let _ = stream.write_all(text.as_bytes());
}

/// Guards against a write that fails because the server closed an idle connection, although no part
/// of the write was sent.
#[tokio::test]
async fn write_succeeds_after_the_server_closed_the_idle_connection() {
    static REQUESTS: AtomicUsize = AtomicUsize::new(0);
    static CLOSED: AtomicUsize = AtomicUsize::new(0);
    let client = client_of_raw_server(|mut stream| {
        if receive(&mut stream) {
            REQUESTS.fetch_add(1, Ordering::SeqCst);
            send(&mut stream, "200 OK", "[1]");
            drop(stream);
            CLOSED.fetch_add(1, Ordering::SeqCst);
        }
    });
    for n in 1..=50 {
        let result = client.transact(vec![put("a", Condition::Any)]).await;
        assert_eq!(result, Ok(vec![1]), "write {n}");
        assert_eq!(REQUESTS.load(Ordering::SeqCst), n);
        // Blocks the only thread of the runtime, so that the connection task cannot notice the
        // close before the next write.
        while CLOSED.load(Ordering::SeqCst) < n {
            std::thread::sleep(Duration::from_millis(1));
        }
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Guards against clients that open a new connection for each call.
#[tokio::test]
async fn connections_are_reused() {
    static CONNECTIONS: AtomicUsize = AtomicUsize::new(0);
    let client = client_of_raw_server(|mut stream| {
        CONNECTIONS.fetch_add(1, Ordering::SeqCst);
        while receive(&mut stream) {
            send(&mut stream, "200 OK", "[1]");
        }
    });
    for _ in 0..200 {
        let result = client.transact(vec![put("a", Condition::Any)]).await;
        assert_eq!(result, Ok(vec![1]));
    }
    assert_eq!(CONNECTIONS.load(Ordering::SeqCst), 1);
}

/// Guards against unexpected responses to writes that are reported as failures without effect.
#[tokio::test]
async fn unexpected_responses_leave_writes_unknown() {
    type Handler = fn(std::net::TcpStream);
    // Behaviour of the server, expected error of a write, expected error of a read.
    let cases: [(&str, Handler, &str, &str); 8] = [
        (
            "close after the request",
            |mut s| {
                receive(&mut s);
            },
            "unknown",
            "unavailable",
        ),
        ("500", |s| respond(s, "500 E", ""), "unknown", "unavailable"),
        ("400", |s| respond(s, "400 E", ""), "unknown", "unavailable"),
        ("302", |s| respond(s, "302 E", ""), "unknown", "unavailable"),
        (
            "not JSON",
            |s| respond(s, "200 OK", "[1"),
            "unknown",
            "unavailable",
        ),
        (
            "too few versions",
            |s| respond(s, "200 OK", "[]"),
            "unknown",
            "unavailable",
        ),
        (
            "conflict on another key",
            |s| respond(s, "409 Conflict", "proxy"),
            "unknown",
            "unavailable",
        ),
        (
            "oversized body",
            |mut s| {
                receive(&mut s);
                let length = 17 << 20;
                let _ = write!(s, "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
                let _ = s.write_all(&vec![b' '; length]);
            },
            "unknown",
            "unavailable",
        ),
    ];
    for (name, handle, write_error, read_error) in cases {
        let client = client_of_raw_server(handle);
        let error = client.transact(vec![put("a", Condition::Any)]).await;
        assert_eq!(error_kind(&error.unwrap_err()), write_error, "{name}");
        let error = client.read("a".into()).await.unwrap_err();
        assert_eq!(error_kind(&error), read_error, "{name}");
    }
    // The connection is refused, so the write was not sent.
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let client = Client::new(listener.local_addr().unwrap());
    drop(listener);
    let error = client.transact(vec![put("a", Condition::Any)]).await;
    assert_eq!(error_kind(&error.unwrap_err()), "unavailable");
}

/// Reads one request and sends a response.
fn respond(mut stream: std::net::TcpStream, head: &str, body: &str) {
    receive(&mut stream);
    send(&mut stream, head, body);
}

/// Guards against late commands of a former manager, a second reboot by a repeated command, a
/// reboot of an incarnation that has ended, and a lost response that is taken for a refusal.
#[tokio::test]
async fn commands_are_fenced_and_idempotent() {
    for via in TRANSPORTS {
        let store = Store::new();
        let target = Target::new();
        store.machines().add("w-1", target);
        store.machines().set_reboot_time(Duration::from_millis(20));
        let listed = |incarnation| Instance {
            name: "w-1".into(),
            address: ([127, 0, 0, 1], 1).into(),
            data_centre: "a".into(),
            rack: "r".into(),
            state: State::Live,
            incarnation,
        };
        store.set_instances(vec![listed(3)]);
        let platform = connect(via, &store, "a").await;
        let send_command = |token, action| {
            let instance = "w-1".into();
            platform.machines.order(Command {
                instance,
                token,
                action,
            })
        };
        // Each case starts from the state left by the previous cases; the last number counts the
        // reboots so far.
        let cases = [
            (2, Action::Drain, None, Ok(()), 0),
            (1, Action::Drain, None, Err("conflict"), 0),
            (2, Action::Reboot(2), None, Ok(()), 0),
            (
                2,
                Action::Reboot(3),
                Some(Fault::Refuse),
                Err("unavailable"),
                0,
            ),
            (1, Action::Reboot(3), None, Err("conflict"), 0),
            (2, Action::Reboot(3), Some(Fault::Lose), Err("unknown"), 1),
            (2, Action::Reboot(3), None, Ok(()), 1),
        ];
        for (token, action, fault, expected, reboots) in cases {
            store.faults().inject(Kind::Order, fault);
            let result = send_command(token, action).await;
            let label = format!("{via:?} {token} {action:?}");
            assert_eq!(
                result.as_ref().map_err(error_kind).copied(),
                expected,
                "{label}"
            );
            assert_eq!(store.machines().rebooted().len(), reboots, "{label}");
        }
        let listing = &platform.listing;
        let deadline = Instant::now() + Duration::from_secs(5);
        while listing.instances().await.unwrap() != [listed(4)] {
            assert!(
                Instant::now() < deadline,
                "{via:?} w-1 is not listed as restarted"
            );
            sleep(Duration::from_millis(5)).await;
        }
        send_command(2, Action::Reboot(3)).await.unwrap();
        assert_eq!(listing.instances().await.unwrap(), [listed(4)]);
    }
}

/// Guards against a client that fails although only some of its addresses are unreachable.
#[tokio::test]
async fn client_tries_the_next_address() {
    let store = Store::new();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let reachable = listener.local_addr().unwrap();
    let closed = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let refusing = closed.local_addr().unwrap();
    drop(closed);
    tokio::spawn(coriandernotch::standin::platform::serve(
        listener,
        store.client("a"),
    ));
    for (first, others) in [
        (refusing, [refusing, reachable]),
        (reachable, [refusing, refusing]),
    ] {
        let client = Client::with_addresses(first, &others);
        for _ in 0..3 {
            assert_eq!(client.read("row".into()).await, Ok(None));
        }
    }
    let result = Client::with_addresses(refusing, &[refusing])
        .read("row".into())
        .await;
    assert!(
        matches!(result, Err(Error::Unavailable { .. })),
        "{result:?}"
    );
}
