//! A callers' port in front of one raw target, on loopback.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use coriandernotch::call::Dispatcher;
use coriandernotch::claim::{Manager, Owner, Settings};
use coriandernotch::clock;
use coriandernotch::fleet::{Digest, Document, Registry, Snapshot};
use coriandernotch::front::callers::{Limits, Port, serve};
use coriandernotch::limit::{Ledger, Terms, Voter};
use coriandernotch::platform::{Instance, State};
use coriandernotch::standin::Store;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

pub(crate) const KEY: &str = "very-secret-red-key";
pub(crate) const BODY_LIMIT: usize = 1000;
pub(crate) const LONGEST_RUN: Duration = Duration::from_millis(1500);

/// Calls that the target of most tests runs at once.
const SLOTS: u32 = 64;

/// Bounds short enough for tests.
pub(crate) fn limits() -> Limits {
    Limits {
        connections: 20,
        header_timeout: Duration::from_millis(300),
        body_timeout: Duration::from_millis(300),
        idle_timeout: Duration::from_secs(2),
        stall_timeout: Duration::from_millis(300),
        ..Limits::default()
    }
}

/// What the target answers to the head of a request; the connection closes after the second part
/// unless the flag says that it stays.
pub(crate) type Script = fn(&str) -> (Vec<u8>, bool);

pub(crate) fn ok(_: &str) -> (Vec<u8>, bool) {
    (
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".to_vec(),
        true,
    )
}

pub(crate) struct Bed {
    pub(crate) address: SocketAddr,
    pub(crate) dispatcher: Arc<Dispatcher>,
    /// Whole requests that the target got.
    pub(crate) requests: Arc<Mutex<Vec<String>>>,
    early: Arc<AtomicBool>,
    /// Connections that the target has accepted.
    accepted: Arc<AtomicUsize>,
    target: tokio::task::AbortHandle,
    _stop: watch::Sender<bool>,
}

impl Bed {
    pub(crate) async fn start(script: Script) -> Self {
        Self::with(script, limits()).await
    }

    pub(crate) async fn with(script: Script, limits: Limits) -> Self {
        Self::with_slots(SLOTS, script, limits).await
    }

    /// Starts a port whose target runs up to `slots` calls at once.
    pub(crate) async fn with_slots(slots: u32, script: Script, limits: Limits) -> Self {
        let requests = Arc::<Mutex<Vec<String>>>::default();
        let early = Arc::<AtomicBool>::default();
        let accepted = Arc::<AtomicUsize>::default();
        let target = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let dispatcher = dispatcher(target.local_addr().unwrap(), slots);
        let target = tokio::spawn(run_target(
            target,
            script,
            requests.clone(),
            early.clone(),
            accepted.clone(),
        ));
        let owner = Owner {
            instance: "a".into(),
            incarnation: 1,
        };
        let claims = Manager::start(
            Store::new().platform("a").table,
            owner,
            Settings::share(100.0, 1),
        );
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (stop, stopped) = watch::channel(false);
        let port = Port::new(dispatcher.clone(), Arc::new(claims), limits, None);
        tokio::spawn(serve(port, listener, stopped));
        Self {
            address,
            dispatcher,
            requests,
            early,
            accepted,
            target: target.abort_handle(),
            _stop: stop,
        }
    }

    /// Starts a port whose target answers to the head of a request without reading its body.
    pub(crate) async fn early(limits: Limits) -> Self {
        let bed = Self::with(ok, limits).await;
        bed.early.store(true, Ordering::Release);
        bed
    }

    /// Closes the listener and all connections of the target.
    pub(crate) async fn stop_target(&self) {
        self.target.abort();
        while !self.target.is_finished() {
            tokio::task::yield_now().await;
        }
    }

    pub(crate) async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address).await.unwrap()
    }

    /// Sends bytes and reads until the port closes the connection, at most 10 s.
    pub(crate) async fn send(&self, bytes: &[u8]) -> String {
        let mut stream = self.connect().await;
        // The port may answer and close before it has read everything.
        let _ = stream.write_all(bytes).await;
        read_to_end(&mut stream).await
    }

    /// Checks that another caller is served at once.
    pub(crate) async fn assert_serves(&self, case: &str) {
        let bytes = request("GET", "/bystander", "", "");
        let answer = tokio::time::timeout(Duration::from_secs(2), self.send(&bytes));
        let answer = answer
            .await
            .unwrap_or_else(|_| panic!("{case}: another caller got no answer in 2 s"));
        assert!(
            answer.starts_with("HTTP/1.1 200"),
            "{case}: another caller got {answer:?}"
        );
    }

    /// Returns the requests that the target got, without those of bystanders.
    pub(crate) fn requests(&self) -> Vec<String> {
        let requests = self.requests.lock().unwrap();
        requests
            .iter()
            .filter(|r| !r.contains("/bystander"))
            .cloned()
            .collect()
    }

    /// Returns the number of connections that the target has accepted.
    pub(crate) fn accepted(&self) -> usize {
        self.accepted.load(Ordering::Acquire)
    }

    /// Waits until no call holds a slot, at most `limit`.
    pub(crate) async fn assert_free_within(&self, limit: Duration, case: &str) {
        let end = tokio::time::Instant::now() + limit;
        while self.dispatcher.running() > 0 || self.dispatcher.waiting() > 0 {
            assert!(
                tokio::time::Instant::now() < end,
                "{case}: a slot is still held after {limit:?}"
            );
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

/// Makes a request that closes its connection.
pub(crate) fn request(method: &str, path: &str, headers: &str, body: &str) -> Vec<u8> {
    format!(
        "{method} /v1/services/one{path} HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {KEY}\r\n\
         Connection: close\r\n{headers}\r\n{body}"
    )
    .into_bytes()
}

/// Returns the status of an answer, 0 for none.
pub(crate) fn status(answer: &str) -> u16 {
    answer
        .split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(0)
}

/// Returns the value of a header of an answer or request.
pub(crate) fn header<'a>(message: &'a str, name: &str) -> Option<&'a str> {
    let head = message.split("\r\n\r\n").next()?;
    let mut lines = head.lines().skip(1).filter_map(|line| line.split_once(':'));
    lines
        .find(|(n, _)| n.eq_ignore_ascii_case(name))
        .map(|(_, v)| v.trim())
}

pub(crate) async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    let _ = tokio::time::timeout(Duration::from_secs(10), read).await;
    String::from_utf8_lossy(&answer).into_owned()
}

fn dispatcher(target: SocketAddr, slots: u32) -> Arc<Dispatcher> {
    let document: Document = serde_json::from_value(serde_json::json!({
        "name": "f",
        "longest-run-ms": LONGEST_RUN.as_millis() as u64,
        "data-centres": [{"name": "a", "region": "r"}],
        "workspaces": [{
            "name": "red", "share": 1, "limit": 1000,
            "keys": [{"name": "k", "digest": Digest::of(KEY.as_bytes())}],
        }],
        "pools": [{"name": "p", "size": 1, "budget": {"unavailable": 1}, "instances": ["t"]}],
        "services": [{
            "name": "one", "pool": "p", "slots": slots, "connections": 64,
            "body-limit": BODY_LIMIT, "timeout-ms": 5000,
        }],
    }))
    .unwrap();
    let snapshot = Arc::new(Snapshot::build(
        1,
        document.into(),
        &mut Registry::default(),
    ));
    let (own, now) = (Voter::new("a", 1), clock::now());
    let dispatcher = Dispatcher::new(Ledger::new(own.clone()));
    let terms = Terms::of(&snapshot, vec![own]);
    dispatcher.with_ledger(|ledger| ledger.install(&terms, now));
    dispatcher.enforce(Arc::from([snapshot]), "a", now);
    dispatcher.set_fresh_until(now + Duration::from_secs(3600));
    let instance = Instance {
        name: "t".into(),
        address: target,
        data_centre: "a".into(),
        rack: "r".into(),
        state: State::Live,
        incarnation: 0,
    };
    dispatcher.set_instances(Arc::from([instance]), now);
    dispatcher
}

async fn run_target(
    listener: TcpListener,
    script: Script,
    requests: Arc<Mutex<Vec<String>>>,
    early: Arc<AtomicBool>,
    accepted: Arc<AtomicUsize>,
) {
    // Dropping the set closes the connections.
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        accepted.fetch_add(1, Ordering::AcqRel);
        connections.spawn(run_connection(
            stream,
            script,
            requests.clone(),
            early.clone(),
        ));
    }
}

async fn run_connection(
    mut stream: TcpStream,
    script: Script,
    requests: Arc<Mutex<Vec<String>>>,
    early: Arc<AtomicBool>,
) {
    let mut buffer = Vec::new();
    loop {
        let Some(length) = message_length(&buffer, early.load(Ordering::Acquire)) else {
            match stream.read_buf(&mut buffer).await {
                Ok(0) | Err(_) => return,
                Ok(_) => continue,
            }
        };
        let message: Vec<u8> = buffer.drain(..length).collect();
        let message = String::from_utf8_lossy(&message).into_owned();
        if let Some(delay) = header(&message, "x-delay-ms") {
            tokio::time::sleep(Duration::from_millis(delay.parse().unwrap())).await;
        }
        let bystander = message.contains("/bystander");
        let (answer, stays) = if bystander {
            ok(&message)
        } else {
            script(&message)
        };
        requests.lock().unwrap().push(message);
        if stream.write_all(&answer).await.is_err() || !stays {
            return;
        }
    }
}

/// Returns the length of the first whole request.
fn message_length(buffer: &[u8], early: bool) -> Option<usize> {
    let text = String::from_utf8_lossy(buffer);
    let head = text.find("\r\n\r\n")? + 4;
    if early {
        return Some(head);
    }
    if let Some(length) = header(&text, "content-length") {
        let length: usize = length.parse().unwrap();
        return (buffer.len() >= head + length).then_some(head + length);
    }
    if header(&text, "transfer-encoding").is_some() {
        let end = if text[head..].starts_with("0\r\n\r\n") {
            Some(head + 5)
        } else {
            text[head..].find("\r\n0\r\n\r\n").map(|at| head + at + 7)
        };
        return end;
    }
    Some(head)
}

/// Makes a request with exactly these lines after the request line.
pub(crate) fn raw(lines: &str, body: &str) -> Vec<u8> {
    format!("POST /v1/services/one/x HTTP/1.1\r\n{lines}\r\n\r\n{body}").into_bytes()
}

pub(crate) fn authorized(lines: &str, body: &str) -> Vec<u8> {
    raw(
        &format!("Host: h\r\nConnection: close\r\nAuthorization: Bearer {KEY}\r\n{lines}"),
        body,
    )
}
