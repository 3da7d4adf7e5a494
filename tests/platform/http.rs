//! The HTTP client and servers that misbehave.

use std::io::{Read, Write as _};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use coriandernotch::platform::{Condition, Error, Table, http::Client};
use coriandernotch::standin::Store;
use tokio::net::TcpListener;

use super::transport::{error_kind, put};

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
