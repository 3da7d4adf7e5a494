//! Targets that are ejected or spared.

use std::time::Duration;

use tokio::io::AsyncWriteExt;

use crate::bed::{Bed, LONGEST_RUN, header, ok, request, status};

/// Guards against a target that is ejected because callers hang up in the middle of a body or of
/// an answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_that_hang_up_do_not_eject_the_target() {
    let bed = Bed::start(|_| {
        let head = b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n".to_vec();
        ([head, vec![b'x'; 1_000_000]].concat(), true)
    })
    .await;
    let length = "Content-Length: 900\r\n";
    let cases = [
        ("in the body", request("POST", "/x", length, "begin")),
        (
            "in a chunk",
            request("POST", "/x", "Transfer-Encoding: chunked\r\n", "9\r\nbeg"),
        ),
        ("in the answer", request("GET", "/x", "", "")),
    ];
    for (name, bytes) in cases {
        for _ in 0..20 {
            let mut stream = bed.connect().await;
            stream.write_all(&bytes).await.unwrap();
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        bed.assert_serves(name).await;
        bed.assert_free_within(LONGEST_RUN, name).await;
    }
    let service = bed.dispatcher.enforced()[0].service_id("one").unwrap();
    let rates = bed.dispatcher.with_targets(service, |targets| {
        targets
            .iter()
            .map(|(_, t)| t.health.rate())
            .collect::<Vec<_>>()
    });
    assert_eq!(rates, Some(vec![0.0]));
}

/// Guards against connection storms on a target that is gone: connections that fail stay within
/// the first tries and the retry budget, and ejection stops them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unreachable_target_is_not_stormed() {
    let bed = Bed::start(ok).await;
    let before = bed.send(&request("GET", "/x", "", "")).await;
    assert_eq!(status(&before), 200);
    bed.stop_target().await;
    let mut answers = std::collections::BTreeMap::new();
    for _ in 0..100 {
        let answer = bed
            .send(&request("POST", "/x", "Content-Length: 0\r\n", ""))
            .await;
        let reason = answer.rsplit("\r\n\r\n").next().unwrap().trim().to_owned();
        let outcome = header(&answer, "coriandernotch-outcome")
            .unwrap()
            .to_owned();
        *answers
            .entry((status(&answer), outcome, reason))
            .or_insert(0) += 1;
    }
    let count = |reason: &str| {
        answers
            .get(&(503, "not-run".to_owned(), reason.to_owned()))
            .copied()
            .unwrap_or(0)
    };
    assert!(count("no-target") >= 90, "{answers:?}");
    assert!(count("unreachable") <= 10, "{answers:?}");
}
