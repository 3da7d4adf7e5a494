//! Callers that are slow, idle, too many or gone.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::time::{Instant, sleep};

use crate::bed::{Bed, KEY, LONGEST_RUN, header, limits, ok, request, status};

/// Time that a busy machine needs at most for what takes milliseconds.
const SOON: Duration = Duration::from_secs(4);

/// Waits until the target got this many whole requests.
async fn wait_for_requests(bed: &Bed, count: usize) {
    let start = Instant::now();
    while bed.requests().len() < count {
        assert!(start.elapsed() < SOON, "the calls did not start");
        sleep(Duration::from_millis(1)).await;
    }
}

/// Answer that is larger than all buffers on the way.
fn large(_: &str) -> (Vec<u8>, bool) {
    const SIZE: usize = 32 << 20;
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {SIZE}\r\n\r\n");
    ([head.into_bytes(), vec![b'x'; SIZE]].concat(), true)
}

/// Waits until the port closes the connection, at most 10 s.
async fn wait_closed(stream: &mut (impl AsyncRead + Unpin)) {
    let mut rest = [0; 4096];
    let closed = async { while stream.read(&mut rest).await.is_ok_and(|n| n > 0) {} };
    let _ = tokio::time::timeout(Duration::from_secs(10), closed).await;
}

/// Guards against connections that are held without a whole request, and against a bound that
/// cuts idle connections as early as slow ones.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_and_idle_connections_are_closed() {
    let whole = format!(
        "GET /v1/services/one/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {KEY}\r\n\r\n"
    );
    let (head, idle) = (limits().header_timeout, limits().idle_timeout);
    let pipelined = format!("{whole}GET /v1");
    let cases: [(&str, &[u8], Duration); 6] = [
        ("nothing sent", b"", idle),
        ("one byte", b"G", head),
        ("half a preface of HTTP/2", b"PR", head),
        (
            "half a head",
            b"GET /v1/services/one/x HTTP/1.1\r\nHost:",
            head,
        ),
        // What was read together with a request counts as idle time only.
        ("half a head with a request", pipelined.as_bytes(), idle),
        ("idle after a request", whole.as_bytes(), idle),
    ];
    let bed = Bed::start(ok).await;
    // Connected at once and watched together, so that the bounds pass only once.
    let start = Instant::now();
    let mut watches = tokio::task::JoinSet::new();
    for (name, bytes, bound) in cases {
        let mut stream = bed.connect().await;
        stream.write_all(bytes).await.unwrap();
        watches.spawn(async move {
            wait_closed(&mut stream).await;
            (name, bound, start.elapsed())
        });
    }
    let mut stream = bed.connect().await;
    stream.write_all(whole.as_bytes()).await.unwrap();
    let n = stream.read(&mut [0; 1024]).await.unwrap();
    assert!(n > 0, "no answer");
    stream.write_all(b"GET").await.unwrap();
    watches.spawn(async move {
        wait_closed(&mut stream).await;
        ("half a head after an answer", head, start.elapsed())
    });
    // A client that answers pings, unlike one of bare bytes.
    let mut sender = open(&bed).await;
    let answer = sender.send_request(call("/bystander")).await.unwrap();
    assert_eq!(answer.status(), 200);
    drop(answer);
    watches.spawn(async move {
        while !sender.is_closed() && start.elapsed() < Duration::from_secs(10) {
            sleep(Duration::from_millis(5)).await;
        }
        ("idle with HTTP/2", idle, start.elapsed())
    });
    bed.assert_serves("slow and idle connections").await;
    while let Some(watch) = watches.join_next().await {
        let (name, bound, took) = watch.unwrap();
        assert!(took >= bound, "{name}: closed after {took:?}");
        let latest = if bound == head { idle } else { 2 * idle };
        assert!(took < latest, "{name}: closed after {took:?}");
    }
}

/// Guards against a sender that keeps its connection by sending a byte now and then.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_dribbled_head_is_cut() {
    let bed = Bed::start(ok).await;
    let (mut read, mut write) = bed.connect().await.into_split();
    let start = Instant::now();
    let dribble = tokio::spawn(async move {
        while write.write_all(b"G").await.is_ok() {
            sleep(Duration::from_millis(50)).await;
        }
    });
    wait_closed(&mut read).await;
    let took = start.elapsed();
    assert!(took < limits().idle_timeout, "cut after {took:?}");
    // The socket itself goes soon after, although the caller goes on.
    let ended = tokio::time::timeout(SOON, dribble).await;
    assert!(ended.is_ok(), "the socket stayed open");
}

/// Guards against callers that take no answer and hold a slot for it for ever.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_that_is_not_taken_gives_its_slot_back() {
    let bed = Bed::start(large).await;
    let mut callers = Vec::new();
    for _ in 0..4 {
        let mut stream = bed.connect().await;
        stream
            .write_all(&request("GET", "/x", "", ""))
            .await
            .unwrap();
        callers.push(stream);
    }
    wait_for_requests(&bed, 4).await;
    bed.assert_serves("callers that read nothing").await;
    bed.assert_free_within(SOON, "callers that read nothing")
        .await;
}

/// Guards against the same by HTTP/2, where the socket stays writable while a stream is stalled.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stalled_stream_gives_its_slot_back() {
    let bed = Bed::start(large).await;
    let sender = open(&bed).await;
    let send = || {
        let mut sender = sender.clone();
        async move { sender.send_request(call("/x")).await }
    };
    let answers = tokio::join!(send(), send(), send());
    wait_for_requests(&bed, 1).await;
    bed.assert_free_within(SOON, "streams that are not read")
        .await;
    drop(answers);
}

/// Guards against cutting an answer whose caller is slow but keeps taking parts of it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_slow_reader_gets_its_whole_answer() {
    let bed = Bed::start(|_| {
        let size = 8 << 20;
        let mut answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n").into_bytes();
        answer.resize(answer.len() + size, b'x');
        (answer, true)
    })
    .await;
    let mut stream = bed.connect().await;
    stream
        .write_all(&request("GET", "/x", "", ""))
        .await
        .unwrap();
    let (mut got, mut part) = (0, vec![0; 1 << 20]);
    loop {
        let n = stream.read(&mut part).await.unwrap();
        if n == 0 {
            break;
        }
        got += n;
        sleep(Duration::from_millis(2)).await;
    }
    assert!(got > 8 << 20, "got {got} bytes");
}

/// Guards against one caller taking all connections for good, and against losing those that wait
/// for their turn.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_over_the_bound_wait_for_their_turn() {
    let bed = Bed::start(ok).await;
    let mut first = bed.connect().await;
    let whole = format!(
        "GET /v1/services/one/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {KEY}\r\n\r\n"
    );
    first.write_all(whole.as_bytes()).await.unwrap();
    let mut answer = [0; 1024];
    let n = first.read(&mut answer).await.unwrap();
    assert!(answer[..n].starts_with(b"HTTP/1.1 200"));
    let mut others = Vec::new();
    for _ in 0..limits().connections + 10 {
        others.push(bed.connect().await);
    }
    // Who is connected is served on.
    first.write_all(whole.as_bytes()).await.unwrap();
    let n = first.read(&mut answer).await.unwrap();
    assert!(answer[..n].starts_with(b"HTTP/1.1 200"));
    let waiting = bed.send(&request("GET", "/x", "", "")).await;
    assert_eq!(status(&waiting), 200, "{waiting:?}");
}

/// Guards against a body that comes in drops and holds its slot beyond the longest run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_dribbled_body_ends_with_the_longest_run() {
    let bed = Bed::start(ok).await;
    let mut stream = bed.connect().await;
    stream
        .write_all(&request("POST", "/x", "Content-Length: 900\r\n", ""))
        .await
        .unwrap();
    let start = Instant::now();
    while start.elapsed() < LONGEST_RUN + Duration::from_millis(300) {
        let _ = stream.write_all(b"x").await;
        sleep(Duration::from_millis(100)).await;
    }
    bed.assert_free_within(Duration::from_secs(1), "a body in drops")
        .await;
    assert!(bed.requests().is_empty());
}

/// Guards against the slot of a caller that is gone coming back while the target still runs.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_whose_caller_is_gone_keeps_its_slot_until_the_longest_run() {
    // The head announces more than ever comes, and the connection stays open.
    let bed = Bed::start(|_| (b"HTTP/1.1 200 OK\r\n".to_vec(), true)).await;
    let mut stream = bed.connect().await;
    let start = Instant::now();
    stream
        .write_all(&request("GET", "/x", "", ""))
        .await
        .unwrap();
    wait_for_requests(&bed, 1).await;
    drop(stream);
    bed.assert_free_within(LONGEST_RUN + SOON, "caller gone")
        .await;
    assert!(
        start.elapsed() >= LONGEST_RUN,
        "free after {:?}",
        start.elapsed()
    );
}

/// Guards against many streams of one connection holding up others.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_streams_are_answered() {
    let bed = Bed::start(ok).await;
    let sender = open(&bed).await;
    let mut calls = tokio::task::JoinSet::new();
    for number in 0..500 {
        let mut sender = sender.clone();
        calls.spawn(async move {
            sender
                .send_request(call(&format!("/n{number}")))
                .await
                .unwrap()
        });
    }
    bed.assert_serves("many streams").await;
    while let Some(answer) = calls.join_next().await {
        let answer = answer.unwrap();
        assert_eq!(answer.status(), 200);
        assert_eq!(answer.headers()["coriandernotch-outcome"], "answered");
        assert_eq!(answer.into_body().collect().await.unwrap().to_bytes(), "ok");
    }
    let requests = bed.requests();
    assert_eq!(requests.len(), 500);
    // HTTP/2 requests name their host only in the authority.
    assert_eq!(header(&requests[0], "host"), Some("h2-host"));
}

/// Guards against streams that are cancelled in a wave leaving slots or waiting calls behind.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cancelled_streams_leave_nothing() {
    let bed = Bed::start(ok).await;
    for wave in 0..5 {
        let sender = open(&bed).await;
        let mut calls = tokio::task::JoinSet::new();
        for _ in 0..200 {
            let mut sender = sender.clone();
            calls.spawn(async move { drop(sender.send_request(delayed("/x", 20)).await) });
        }
        sleep(Duration::from_millis(5 * wave)).await;
        drop(calls);
    }
    bed.assert_serves("cancelled streams").await;
    bed.assert_free_within(LONGEST_RUN + SOON, "cancelled streams")
        .await;
}

type Sender = http2::SendRequest<Full<Bytes>>;

async fn open(bed: &Bed) -> Sender {
    let io = TokioIo::new(bed.connect().await);
    let (sender, connection) = http2::handshake(TokioExecutor::new(), io).await.unwrap();
    tokio::spawn(connection);
    sender
}

fn call(path: &str) -> Request<Full<Bytes>> {
    Request::get(format!("http://h2-host/v1/services/one{path}"))
        .header("authorization", format!("Bearer {KEY}"))
        .body(Full::default())
        .unwrap()
}

/// Makes a call whose answer the target holds back.
fn delayed(path: &str, millis: u32) -> Request<Full<Bytes>> {
    let mut request = call(path);
    request.headers_mut().insert("x-delay-ms", millis.into());
    request
}
