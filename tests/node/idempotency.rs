//! Calls with an idempotency key.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use coriandernotch::demo::{Client, Reply};
use coriandernotch::platform::State;
use coriandernotch::standin::target::Mode;
use http_body_util::Full;
use hyper::Request;

use super::bed::{WAIT, address, count_runs, start_bed};

async fn call_with_key(to: SocketAddr, id: &str, path: &str, idempotency: &str) -> Reply {
    let request = Request::builder()
        .method("POST")
        .uri(format!("/v1/services/one/{path}"))
        .header("host", "test")
        .header("authorization", "Bearer blue-key")
        .header("idempotency-key", idempotency)
        .header("x-request-id", id)
        .header("x-workspace", "blue")
        .header("coriandernotch-deadline-ms", "1500")
        .body(Full::new(Bytes::from_static(b"order")))
        .unwrap();
    Client::default().call(to, request).await.unwrap()
}

/// Guards against a call that runs again although its idempotency key was used before: at another
/// instance, while the first call runs, after its outcome became unknown, or while the store is
/// down.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_repeated_idempotency_key_never_runs_again() {
    let bed = start_bed(2).await;
    let (first, second) = (bed.nodes()[0].clone(), bed.nodes()[1].clone());
    let (a, b) = (address(&first), address(&second));
    let reply = call_with_key(a, "k1", "x", "order-1").await;
    assert_eq!(
        (reply.status.as_u16(), reply.outcome(), &*reply.body),
        (200, "answered", &b"order"[..])
    );
    let stored = bed.wait(WAIT, |bed| {
        bed.store
            .rows("claims/")
            .iter()
            .any(|r| r.value.contains("done"))
    });
    assert!(stored.await, "the answer was not stored");
    let replayed = call_with_key(b, "k1", "x", "order-1").await;
    assert_eq!(
        (replayed.status.as_u16(), replayed.outcome()),
        (200, "answered")
    );
    assert_eq!(
        (&*replayed.body, count_runs(&bed, "k1")),
        (&b"order"[..], 1)
    );
    let other_path = call_with_key(b, "k1", "other-path", "order-1").await;
    assert_eq!(
        (other_path.status.as_u16(), other_path.outcome()),
        (422, "not-run")
    );

    bed.targets.values().for_each(|t| t.set_mode(Mode::Hang));
    let (hung, repeat) = tokio::join!(call_with_key(a, "k2", "x", "order-2"), async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        call_with_key(b, "k2", "x", "order-2").await
    });
    assert_eq!((hung.status.as_u16(), hung.outcome()), (504, "unknown"));
    assert_eq!((repeat.status.as_u16(), repeat.outcome()), (409, "unknown"));
    let later = call_with_key(b, "k2", "x", "order-2").await;
    assert_eq!((later.outcome(), count_runs(&bed, "k2")), ("unknown", 1));

    bed.store.faults().set_outage(true);
    let refused = call_with_key(a, "k3", "x", "order-3").await;
    assert_eq!(
        (refused.status.as_u16(), refused.outcome()),
        (503, "not-run")
    );
    assert_eq!(count_runs(&bed, "k3"), 0);
}

/// Guards against an idempotency key that stays claimed by a call that never ran.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refused_call_releases_its_idempotency_key() {
    let bed = start_bed(1).await;
    let to = address(&bed.nodes()[0]);
    let live = bed.instances.lock().unwrap().clone();
    for instance in live.iter().filter(|i| i.name.starts_with("one-")) {
        bed.set_instance(coriandernotch::platform::Instance {
            state: State::Leaving,
            ..instance.clone()
        });
    }
    tokio::time::sleep(Duration::from_millis(1300)).await;
    let refused = call_with_key(to, "k", "x", "order").await;
    assert_eq!(
        (refused.status.as_u16(), refused.outcome()),
        (503, "not-run")
    );
    live.into_iter()
        .for_each(|instance| bed.set_instance(instance));
    bed.wait(WAIT, |bed| {
        bed.store
            .rows("claims/")
            .iter()
            .all(|r| !r.value.contains("started"))
    })
    .await;
    // An entry instance does not use a target again that was leaving under the same address, so the
    // call is repeated at a new entry instance.
    let node = bed.start_node().await.unwrap();
    assert!(
        bed.wait(WAIT, |_| node
            .shared()
            .is_ready(coriandernotch::clock::now()))
            .await
    );
    let reply = call_with_key(address(&node), "k", "x", "order").await;
    let text = String::from_utf8_lossy(&reply.body);
    assert_eq!(
        (reply.status.as_u16(), count_runs(&bed, "k")),
        (200, 1),
        "{text}"
    );
}
