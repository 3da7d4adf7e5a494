//! Requests that are malformed, ambiguous or try to pass for another request.

use crate::bed::{BODY_LIMIT, Bed, KEY, authorized, header, ok, raw, request, status};

/// Guards against malformed and ambiguous requests that run, disturb others, or get an answer
/// with a false outcome. Answers without an outcome are made by hyper before our code sees the
/// request, so nothing was run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn malformed_requests_run_nothing() {
    const HYPER: Option<&str> = None;
    const NOT_RUN: Option<&str> = Some("not-run");
    let key = format!("Authorization: Bearer {KEY}");
    let many: Vec<String> = (0..101).map(|n| format!("h{n}: v")).collect();
    let cases = [
        (
            "garbage",
            b"\x00\x01\x02 garbage\r\n\r\n".to_vec(),
            400,
            HYPER,
        ),
        (
            "request line too long",
            request("GET", &format!("/{}", "a".repeat(40_000)), "", ""),
            431,
            HYPER,
        ),
        (
            "headers too long",
            authorized(&format!("h: {}", "a".repeat(40_000)), ""),
            431,
            HYPER,
        ),
        (
            "too many headers",
            authorized(&many.join("\r\n"), ""),
            431,
            HYPER,
        ),
        (
            "space before the colon",
            authorized("Content-Length : 0", ""),
            400,
            HYPER,
        ),
        ("line folding", authorized("h: a\r\n b", ""), 400, HYPER),
        (
            "different lengths",
            authorized("Content-Length: 1\r\nContent-Length: 2", "ab"),
            400,
            HYPER,
        ),
        (
            "list of lengths",
            authorized("Content-Length: 1, 2", "ab"),
            400,
            HYPER,
        ),
        (
            "negative length",
            authorized("Content-Length: -1", ""),
            400,
            HYPER,
        ),
        (
            "length with a sign",
            authorized("Content-Length: +1", "a"),
            400,
            HYPER,
        ),
        (
            "unknown coding",
            authorized("Transfer-Encoding: gzip", ""),
            400,
            HYPER,
        ),
        (
            "chunked not last",
            authorized("Transfer-Encoding: chunked, gzip", "0\r\n\r\n"),
            400,
            HYPER,
        ),
        (
            "two codings",
            authorized(
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
                "0\r\n\r\n",
            ),
            400,
            NOT_RUN,
        ),
        (
            "two hosts",
            authorized("Host: other\r\nContent-Length: 0", ""),
            400,
            NOT_RUN,
        ),
        (
            "no host",
            raw(&format!("Connection: close\r\n{key}"), ""),
            400,
            NOT_RUN,
        ),
        (
            "two keys",
            authorized("Authorization: Bearer other", ""),
            400,
            NOT_RUN,
        ),
        (
            "no key",
            raw("Host: h\r\nConnection: close", ""),
            401,
            NOT_RUN,
        ),
        (
            "body announced without a key",
            raw(
                "Host: h\r\nConnection: close\r\nExpect: 100-continue\r\nContent-Length: 5",
                "",
            ),
            401,
            NOT_RUN,
        ),
        (
            "very long key",
            raw(
                &format!(
                    "Host: h\r\nConnection: close\r\nAuthorization: Bearer {}",
                    "k".repeat(20_000)
                ),
                "",
            ),
            401,
            NOT_RUN,
        ),
        (
            "old version",
            format!("GET /v1/services/one/x HTTP/1.0\r\nHost: h\r\n{key}\r\n\r\n").into_bytes(),
            505,
            NOT_RUN,
        ),
        (
            "upgrade",
            request("GET", "/x", "Upgrade: websocket\r\n", ""),
            501,
            NOT_RUN,
        ),
        (
            "tunnel",
            format!(
                "CONNECT one:80 HTTP/1.1\r\nHost: one:80\r\nConnection: close\r\n{key}\r\n\r\n"
            )
            .into_bytes(),
            404,
            NOT_RUN,
        ),
        (
            "length over the limit",
            authorized(&format!("Content-Length: {}", BODY_LIMIT + 1), ""),
            413,
            NOT_RUN,
        ),
        (
            "bad deadline",
            authorized("Coriandernotch-Deadline-Ms: soon", ""),
            400,
            NOT_RUN,
        ),
    ];
    let bed = Bed::start(ok).await;
    for (name, bytes, expected, outcome) in cases {
        let answer = bed.send(&bytes).await;
        assert_eq!(status(&answer), expected, "{name}: {answer:?}");
        assert_eq!(header(&answer, "coriandernotch-outcome"), outcome, "{name}");
        assert_eq!(bed.requests(), Vec::<String>::new(), "{name}");
        bed.assert_serves(name).await;
    }
}

/// Guards against requests inside requests: hyper reads `Transfer-Encoding` and drops
/// `Content-Length`, so the target must get one framing only and the rest must not run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn length_and_chunks_together_are_framed_anew() {
    let inner = format!(
        "GET /v1/services/one/smuggled HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {KEY}\r\n\r\n"
    );
    let body = format!("0\r\n\r\n{inner}");
    let lines = [
        format!(
            "Content-Length: {}\r\nTransfer-Encoding: chunked",
            body.len()
        ),
        format!(
            "Transfer-Encoding: chunked\r\nContent-Length: {}",
            body.len()
        ),
        format!(
            "Content-Length: 4\r\ntransfer-encoding: Chunked\r\nContent-Length: {}",
            body.len()
        ),
    ];
    for lines in lines {
        let bed = Bed::start(ok).await;
        // Kept alive, so that only the port's own care keeps the rest from running.
        let lines = format!("Host: h\r\nAuthorization: Bearer {KEY}\r\n{lines}");
        let answer = bed.send(&raw(&lines, &body)).await;
        assert_eq!(answer.matches("HTTP/1.1").count(), 1, "{lines}: {answer:?}");
        let requests = bed.requests();
        assert!(requests.len() <= 1, "{lines}: {requests:?}");
        for request in requests {
            let framings = [
                header(&request, "content-length"),
                header(&request, "transfer-encoding"),
            ];
            assert!(
                framings.iter().flatten().count() <= 1,
                "{lines}: {request:?}"
            );
            assert!(!request.contains("smuggled"), "{lines}: {request:?}");
        }
    }
}

/// Guards against paths that change on the way or reach another service.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn paths_arrive_as_sent() {
    let cases = [
        ("/v1/services/one", 200, Some("/")),
        ("/v1/services/one/", 200, Some("/")),
        ("/v1/services/one?a=b", 200, Some("/?a=b")),
        ("/v1/services/one/a%2fb%00%20c", 200, Some("/a%2fb%00%20c")),
        ("/v1/services/one/../two/x", 200, Some("/../two/x")),
        ("/v1/services/one/%2e%2e/two", 200, Some("/%2e%2e/two")),
        ("/v1/services/one//host/x", 200, Some("//host/x")),
        (
            "/v1/services/one/a?b=/c?d&e=%26",
            200,
            Some("/a?b=/c?d&e=%26"),
        ),
        ("http://other/v1/services/one/x", 200, Some("/x")),
        ("/v1/services/%6fne/x", 404, None),
        ("/v1/services/one%2fx", 404, None),
        ("/v1/services/ONE/x", 404, None),
        ("/v1/services/../services/one/x", 404, None),
        ("/v1/services//one/x", 404, None),
        ("/v1/./services/one/x", 404, None),
        ("/V1/services/one/x", 404, None),
        ("*", 404, None),
    ];
    for (path, expected, arrives) in cases {
        let bed = Bed::start(ok).await;
        let bytes = format!(
            "GET {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\nAuthorization: Bearer {KEY}\r\n\r\n"
        );
        let answer = bed.send(bytes.as_bytes()).await;
        assert_eq!(status(&answer), expected, "{path}: {answer:?}");
        let requests = bed.requests();
        let got = requests.first().and_then(|r| r.split(' ').nth(1));
        assert_eq!(got, arrives, "{path}");
        if path.starts_with("http:") {
            assert_eq!(header(&requests[0], "host"), Some("other"), "{path}");
        }
    }
}

/// Guards against keys and connection headers that reach the target, and against headers with
/// which a caller passes for another workspace.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn only_end_to_end_headers_reach_the_target() {
    let bed = Bed::start(ok).await;
    let headers = "Keep-Alive: 5\r\nTE: trailers\r\nTrailer: t\r\nProxy-Connection: x\r\n\
        Proxy-Authorization: secret\r\nX-Named: 1\r\nConnection: x-named, host, content-length\r\n\
        Coriandernotch-Workspace: blue\r\nCoriandernotch-Workspace: green\r\nX-Kept: 1\r\nContent-Length: 3\r\n";
    let answer = bed.send(&request("POST", "/x", headers, "abc")).await;
    assert_eq!(status(&answer), 200, "{answer:?}");
    let request = bed.requests().remove(0);
    for gone in [
        "authorization",
        "keep-alive",
        "te",
        "trailer",
        "proxy-connection",
        "proxy-authorization",
        "x-named",
        "connection",
    ] {
        assert_eq!(header(&request, gone), None, "{gone} in {request:?}");
    }
    assert!(!request.contains(KEY), "{request:?}");
    assert_eq!(
        request.matches("coriandernotch-workspace").count(),
        1,
        "{request:?}"
    );
    let expected = [
        ("coriandernotch-workspace", "red"),
        ("x-kept", "1"),
        ("host", "h"),
        ("content-length", "3"),
    ];
    for (name, value) in expected {
        assert_eq!(header(&request, name), Some(value), "{name} in {request:?}");
    }
}

/// Guards against answers that are mixed up when several requests are sent at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn pipelined_requests_get_their_own_answers_in_order() {
    let bed = Bed::start(|request| {
        let path = request.split(' ').nth(1).unwrap();
        (
            format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{path}",
                path.len()
            )
            .into_bytes(),
            true,
        )
    })
    .await;
    let mut bytes = Vec::new();
    for number in 0..20 {
        let last = if number == 19 {
            "Connection: close\r\n"
        } else {
            ""
        };
        bytes.extend_from_slice(
            format!("GET /v1/services/one/n{number} HTTP/1.1\r\nHost: h\r\n{last}Authorization: Bearer {KEY}\r\n\r\n").as_bytes(),
        );
    }
    let answer = bed.send(&bytes).await;
    let bodies: Vec<&str> = answer
        .split("\r\n\r\n")
        .skip(1)
        .map(|s| s.split("HTTP/1.1").next().unwrap())
        .collect();
    let expected: Vec<String> = (0..20).map(|n| format!("/n{n}")).collect();
    assert_eq!(bodies, expected);
}
