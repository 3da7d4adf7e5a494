//! Bodies that are large, broken, late or out of bounds.

use std::time::Duration;

use coriandernotch::front::callers::Limits;
use coriandernotch::settings::Bounds;
use tokio::io::AsyncWriteExt;

use crate::bed::{BODY_LIMIT, Bed, authorized, header, ok, raw, read_to_end, request, status};

/// Guards against a body that breaks after its head was accepted: it is never a whole request for
/// the target, and the target is not blamed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn broken_bodies_never_arrive_whole() {
    let chunked = |body: &str| authorized("Transfer-Encoding: chunked", body);
    let long = format!("{:x}\r\n{}\r\n", BODY_LIMIT + 1, "a".repeat(BODY_LIMIT + 1));
    let half = format!(
        "{:x}\r\n{}\r\n",
        BODY_LIMIT / 2 + 1,
        "a".repeat(BODY_LIMIT / 2 + 1)
    );
    let cases = [
        (
            "chunk size that is no number",
            chunked("xyz\r\nabc\r\n0\r\n\r\n"),
            400,
        ),
        (
            "chunk size beyond 64 bits",
            chunked("fffffffffffffffff\r\nabc\r\n0\r\n\r\n"),
            400,
        ),
        (
            "chunk longer than its size",
            chunked("3\r\nabcdef\r\n0\r\n\r\n"),
            400,
        ),
        ("chunks over the limit", chunked(&long), 413),
        (
            "chunks over the limit together",
            chunked(&format!("{half}{half}0\r\n\r\n")),
            413,
        ),
        ("a body that stops", chunked("3\r\nabc\r\n"), 408),
        (
            "a body shorter than its length",
            authorized("Content-Length: 10", "abc"),
            408,
        ),
    ];
    let bed = Bed::start(ok).await;
    for (name, bytes, expected) in cases {
        // More of each than would eject a target that is blamed for it.
        for _ in 0..6 {
            let answer = bed.send(&bytes).await;
            assert_eq!(status(&answer), expected, "{name}: {answer:?}");
            assert_eq!(
                header(&answer, "coriandernotch-outcome"),
                Some("unknown"),
                "{name}"
            );
        }
        assert_eq!(bed.requests(), Vec::<String>::new(), "{name}");
        bed.assert_serves(name).await;
    }
}

/// Guards against bodies that are lost or reframed wrongly on the way to the target.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_arrive_as_sent() {
    let chunks = "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n";
    let cases = [
        ("length", "POST", "Content-Length: 5\r\n", "abcde", "abcde"),
        (
            "equal lengths",
            "POST",
            "Content-Length: 5\r\nContent-Length: 5\r\n",
            "abcde",
            "abcde",
        ),
        (
            "chunks",
            "POST",
            "Transfer-Encoding: chunked\r\n",
            chunks,
            "abcde",
        ),
        (
            "chunks of a GET",
            "GET",
            "Transfer-Encoding: chunked\r\n",
            chunks,
            "abcde",
        ),
        (
            "length of a GET",
            "GET",
            "Content-Length: 5\r\n",
            "abcde",
            "abcde",
        ),
        (
            "trailers",
            "POST",
            "Transfer-Encoding: chunked\r\nTrailer: t\r\n",
            "5\r\nabcde\r\n0\r\nt: v\r\n\r\n",
            "abcde",
        ),
        (
            "expectation",
            "POST",
            "Expect: 100-continue\r\nContent-Length: 5\r\n",
            "abcde",
            "abcde",
        ),
        ("none", "POST", "", "", ""),
        ("empty", "POST", "Content-Length: 0\r\n", "", ""),
    ];
    for (name, method, headers, body, arrives) in cases {
        let bed = Bed::start(ok).await;
        let answer = bed.send(&request(method, "/x", headers, body)).await;
        let answer = answer
            .strip_prefix("HTTP/1.1 100 Continue\r\n\r\n")
            .unwrap_or(&answer);
        assert_eq!(status(answer), 200, "{name}: {answer:?}");
        let request = bed.requests().remove(0);
        let (head, got) = request.split_once("\r\n\r\n").unwrap();
        let chunked = header(&request, "transfer-encoding").is_some();
        // Chunk sizes, ends of lines and the last chunk are left out.
        let plain: String = match chunked {
            true => got.split("\r\n").skip(1).step_by(2).collect(),
            false => got.to_owned(),
        };
        assert_eq!(plain, arrives, "{name}: {head:?} {got:?}");
    }
}

/// Guards against settings whose bounds are read and not used.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_bounds_of_the_settings_are_in_force() {
    let bounds = Bounds {
        connections: 7,
        header_bytes: 9_000,
        body_bytes: 10,
        idle_ms: 1_234,
        header_read_ms: 567,
        ..Bounds::default()
    };
    let limits = Limits::from(&bounds);
    assert_eq!((limits.connections, limits.header_bytes), (7, 9_000));
    assert_eq!(limits.idle_timeout, Duration::from_millis(1_234));
    assert_eq!(limits.header_timeout, Duration::from_millis(567));
    let bed = Bed::with(ok, limits).await;
    let cases = [
        ("Content-Length: 10\r\n", "0123456789", 200, "answered"),
        ("Content-Length: 11\r\n", "0123456789a", 413, "not-run"),
        (
            "Transfer-Encoding: chunked\r\n",
            "b\r\n0123456789a\r\n0\r\n\r\n",
            413,
            "unknown",
        ),
    ];
    for (headers, body, expected, outcome) in cases {
        let answer = bed.send(&request("POST", "/x", headers, body)).await;
        assert_eq!(status(&answer), expected, "{headers}: {answer:?}");
        assert_eq!(
            header(&answer, "coriandernotch-outcome"),
            Some(outcome),
            "{headers}"
        );
    }
    assert_eq!(bed.requests().len(), 1);
}

/// Guards against refusals that are lost because the caller still sends its body: a connection
/// that is closed with unread bytes is reset, and the reset discards the answer on its way.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refusal_arrives_although_the_body_is_still_sent() {
    let body = "a".repeat(8 << 20);
    let chunks = format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
    let cases = [
        (
            "too large",
            authorized(&format!("Content-Length: {}", body.len()), &body),
            413,
        ),
        (
            "too large in chunks",
            authorized("Transfer-Encoding: chunked", &chunks),
            413,
        ),
        (
            "no key",
            raw(&format!("Host: h\r\nContent-Length: {}", body.len()), &body),
            401,
        ),
        ("head too long", authorized(&format!("h: {body}"), ""), 431),
    ];
    let bed = Bed::start(ok).await;
    for (name, bytes, expected) in cases {
        for round in 0..5 {
            let mut stream = bed.connect().await;
            // A caller that gives up when its body is refused does not look for the answer.
            let written = stream.write_all(&bytes).await;
            assert!(written.is_ok(), "{name}, round {round}: {written:?}");
            let answer = read_to_end(&mut stream).await;
            assert_eq!(
                status(&answer),
                expected,
                "{name}, round {round}: {answer:?}"
            );
        }
    }
}
