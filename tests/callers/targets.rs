//! Targets that answer in unusual, broken or hostile ways.

use std::time::Duration;

use tokio::io::AsyncWriteExt;

use crate::bed::{Bed, LONGEST_RUN, Script, header, ok, request, status};

/// Guards against answers without a body that are given one, or that block their connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_without_a_body_stay_without() {
    let cases: [(&str, &str, Script, u16); 6] = [
        (
            "HEAD",
            "HEAD",
            |_| {
                (
                    b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n".to_vec(),
                    true,
                )
            },
            200,
        ),
        (
            "204",
            "GET",
            |_| (b"HTTP/1.1 204 No Content\r\n\r\n".to_vec(), true),
            204,
        ),
        (
            "304",
            "GET",
            |_| {
                (
                    b"HTTP/1.1 304 Not Modified\r\nETag: \"a\"\r\n\r\n".to_vec(),
                    true,
                )
            },
            304,
        ),
        (
            "304 with a length",
            "GET",
            |_| {
                (
                    b"HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n".to_vec(),
                    true,
                )
            },
            304,
        ),
        (
            "empty",
            "GET",
            |_| {
                (
                    b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_vec(),
                    true,
                )
            },
            200,
        ),
        (
            "empty chunks",
            "GET",
            |_| {
                (
                    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n".to_vec(),
                    true,
                )
            },
            200,
        ),
    ];
    for (name, method, script, expected) in cases {
        let bed = Bed::start(script).await;
        for _ in 0..3 {
            let answer = bed.send(&request(method, "/x", "", "")).await;
            assert_eq!(status(&answer), expected, "{name}: {answer:?}");
            assert_eq!(
                header(&answer, "coriandernotch-outcome"),
                Some("answered"),
                "{name}"
            );
            let body = answer.split_once("\r\n\r\n").unwrap().1;
            assert!(body.is_empty() || body == "0\r\n\r\n", "{name}: {answer:?}");
        }
        bed.assert_free_within(Duration::from_secs(2), name).await;
    }
}

/// Guards against interim and broken answers that are taken for the answer, or that reach the
/// caller as a whole one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unusual_answers() {
    const WHOLE: Option<&str> = Some("ok");
    let cases: [(&str, Script, u16, Option<&str>); 9] = [
        (
            "100 first",
            |r| {
                (
                    [b"HTTP/1.1 100 Continue\r\n\r\n".to_vec(), ok(r).0].concat(),
                    true,
                )
            },
            200,
            WHOLE,
        ),
        (
            "103 first",
            |r| {
                (
                    [
                        b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n".to_vec(),
                        ok(r).0,
                    ]
                    .concat(),
                    true,
                )
            },
            200,
            WHOLE,
        ),
        (
            "upgrade that was not asked for",
            |r| {
                ([b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n".to_vec(), ok(r).0].concat(), true)
            },
            502,
            None,
        ),
        (
            "length and chunks",
            |_| {
                (b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n".to_vec(), true)
            },
            200,
            WHOLE,
        ),
        (
            "no length",
            |_| (b"HTTP/1.1 200 OK\r\n\r\nok".to_vec(), false),
            200,
            WHOLE,
        ),
        (
            "different lengths",
            |_| {
                (
                    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok".to_vec(),
                    true,
                )
            },
            502,
            None,
        ),
        (
            "garbage",
            |_| (b"\x00garbage\r\n\r\n".to_vec(), true),
            502,
            None,
        ),
        ("closed at once", |_| (Vec::new(), false), 502, None),
        (
            "head without end",
            |_| (b"HTTP/1.1 200 OK\r\nA: ".to_vec(), false),
            502,
            None,
        ),
    ];
    for (name, script, expected, body) in cases {
        let bed = Bed::start(script).await;
        let answer = bed
            .send(&request("POST", "/x", "Content-Length: 0\r\n", ""))
            .await;
        assert_eq!(status(&answer), expected, "{name}: {answer:?}");
        let outcome = if body.is_some() {
            "answered"
        } else {
            "unknown"
        };
        assert_eq!(
            header(&answer, "coriandernotch-outcome"),
            Some(outcome),
            "{name}"
        );
        if let Some(body) = body {
            let framings = [
                header(&answer, "content-length"),
                header(&answer, "transfer-encoding"),
            ];
            assert!(framings.iter().flatten().count() <= 1, "{name}: {answer:?}");
            assert!(
                answer.split_once("\r\n\r\n").unwrap().1.contains(body),
                "{name}: {answer:?}"
            );
        }
        assert_eq!(bed.requests().len(), 1, "{name}");
        bed.assert_serves(name).await;
    }
}

/// Guards against bytes after an answer being taken for the answer to the next request on the
/// same connection, which may be another caller's.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bytes_after_an_answer_reach_nobody() {
    let bed = Bed::start(|r| {
        let extra = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra".to_vec();
        ([ok(r).0, extra].concat(), true)
    })
    .await;
    for number in 0..50 {
        let answer = bed.send(&request("GET", "/x", "", "")).await;
        // A call on a connection that closes under it may fail, but never with another answer.
        assert!(!answer.contains("extra"), "call {number}: {answer:?}");
    }
}

/// Guards against connection headers and a forged outcome that reach the caller.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn only_end_to_end_headers_reach_the_caller() {
    let bed = Bed::start(|_| {
        let head = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: x-named\r\nX-Named: 1\r\n\
            Keep-Alive: 5\r\nProxy-Connection: x\r\nUpgrade: h2c\r\nX-Kept: 1\r\n\
            Coriandernotch-Outcome: not-run\r\nCoriandernotch-Outcome: unknown\r\n\r\nok";
        (head.as_bytes().to_vec(), true)
    })
    .await;
    let answer = bed.send(&request("GET", "/x", "", "")).await;
    for gone in ["x-named", "keep-alive", "proxy-connection", "upgrade"] {
        assert_eq!(header(&answer, gone), None, "{gone} in {answer:?}");
    }
    assert_eq!(header(&answer, "x-kept"), Some("1"));
    assert_eq!(header(&answer, "coriandernotch-outcome"), Some("answered"));
    assert_eq!(answer.matches("coriandernotch-outcome").count(), 1);
}

/// Guards against an answer that never ends and holds its slot and its caller beyond the longest
/// run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_without_end_is_aborted_at_the_longest_run() {
    let bed = Bed::start(|_| {
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart".to_vec(),
            true,
        )
    })
    .await;
    let start = tokio::time::Instant::now();
    let answer = bed.send(&request("GET", "/x", "", "")).await;
    let took = start.elapsed();
    assert!(
        took < LONGEST_RUN + Duration::from_secs(3),
        "ended after {took:?}"
    );
    assert!(took >= LONGEST_RUN, "ended after {took:?}");
    assert!(
        !answer.ends_with("0\r\n\r\n") && answer.ends_with("part"),
        "{answer:?}"
    );
    bed.assert_free_within(Duration::from_secs(1), "answer without end")
        .await;
}

/// Guards against a call that waits for a connection which another caller's slow body holds: the
/// target answered early, so its connection is idle in one direction only.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_early_answer_does_not_hold_up_the_next_call() {
    let limits = coriandernotch::front::callers::Limits {
        body_timeout: Duration::from_secs(5),
        ..crate::bed::limits()
    };
    let bed = Bed::early(limits).await;
    let mut stream = bed.connect().await;
    stream
        .write_all(&request("POST", "/x", "Content-Length: 900\r\n", "begin"))
        .await
        .unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    bed.assert_serves("a body that stops after its answer")
        .await;
}

/// Guards against a late answer that reaches a later caller on the same connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_late_answer_reaches_nobody() {
    let bed = Bed::start(|request| {
        let path = request.split(' ').nth(1).unwrap();
        let length = path.len();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{path}");
        (head.into_bytes(), true)
    })
    .await;
    for round in 0..3 {
        let deadline = "Coriandernotch-Deadline-Ms: 100\r\nX-Delay-Ms: 250\r\n";
        let late = bed
            .send(&request("GET", &format!("/late{round}"), deadline, ""))
            .await;
        assert_eq!(status(&late), 504, "{late:?}");
        assert_eq!(header(&late, "coriandernotch-outcome"), Some("unknown"));
        for number in 0..20 {
            let path = format!("/{round}-{number}");
            let answer = bed.send(&request("GET", &path, "", "")).await;
            assert!(
                answer.ends_with(&format!("\r\n\r\n{path}")),
                "{path}: {answer:?}"
            );
            tokio::time::sleep(Duration::from_millis(15)).await;
        }
    }
    bed.assert_free_within(LONGEST_RUN, "late answers").await;
}
