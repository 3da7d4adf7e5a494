//! Log lines of the callers' port while the store refuses the calls about jobs.

use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use coriandernotch::clock::Instant;
use coriandernotch::config::Outcome;
use coriandernotch::demo::{Bed, Client};
use coriandernotch::fleet::Digest;
use coriandernotch::front::callers::jobs::Outage;
use coriandernotch::node::Applied;
use coriandernotch::standin::{Fault, Kind};
use http_body_util::Full;
use hyper::Request;
use log::kv;

/// Limit of the wait for the instance to become ready.
const TIMEOUT: Duration = Duration::from_secs(40);

/// Refused requests in each of the two outages.
const REQUESTS: usize = 30;

/// Key-value pairs of the log lines about jobs, in the order in which they were written.
static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

struct Logger;

impl log::Log for Logger {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        struct Pairs(String);
        impl<'kvs> kv::VisitSource<'kvs> for Pairs {
            fn visit_pair(
                &mut self,
                key: kv::Key<'kvs>,
                value: kv::Value<'kvs>,
            ) -> Result<(), kv::Error> {
                self.0 += &format!("{key}={value} ");
                Ok(())
            }
        }
        let mut pairs = Pairs(String::new());
        record.key_values().visit(&mut pairs).unwrap();
        if pairs.0.starts_with("event=jobs-") {
            LINES.lock().unwrap().push(pairs.0);
        }
    }

    fn flush(&self) {}
}

fn fleet_document() -> String {
    serde_json::json!({
        "name": "test",
        "data-centres": [{"name": "east", "region": "r"}],
        "workspaces": [{"name": "red", "share": 1, "limit": 8,
            "keys": [{"name": "first", "digest": Digest::of(b"red-key")}]}],
        "pools": [
            {"name": "batch", "size": 1, "budget": {"unavailable": 0},
             "instances": ["batch-east"]},
            {"name": "rest", "size": 0, "spare": true, "budget": {"unavailable": 0}},
        ],
        "queues": [{"name": "open", "pool": "batch"}],
    })
    .to_string()
}

async fn start_bed() -> Bed {
    let document = fleet_document();
    let bed = Bed::start(&document).await.unwrap();
    let node = bed.start_node().await.unwrap();
    let applied = node.shared().apply(&document, None, "test").await;
    assert!(
        matches!(applied, Applied::Committed(Outcome::Accepted(_))),
        "{applied:?}"
    );
    assert!(bed.wait(TIMEOUT, |bed| bed.ready().len() == 1).await);
    bed
}

/// Asks for a job that does not exist.
async fn ask(bed: &Bed) -> u16 {
    let request = Request::builder()
        .uri(format!("/v1/jobs/open.{}", "0".repeat(32)))
        .header("host", "test")
        .header("authorization", "Bearer red-key")
        .body(Full::<Bytes>::default())
        .unwrap();
    let to = bed.nodes()[0].shared().member.callers;
    let reply = Client::default().call(to, request).await.unwrap();
    reply.status.as_u16()
}

/// Guards against one line for each refused request, many a second while the store is away, and
/// against an outage whose end and extent are not logged.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_outage_is_logged_when_it_begins_and_when_it_is_over() {
    log::set_logger(&Logger).unwrap();
    log::set_max_level(log::LevelFilter::Info);
    let bed = start_bed().await;
    assert_eq!(ask(&bed).await, 404);
    bed.store.faults().aim(&["jobs/"]);
    for outage in 1..=2 {
        LINES.lock().unwrap().clear();
        bed.store
            .faults()
            .inject(Kind::Read, [Fault::Refuse; 10_000]);
        for _ in 0..REQUESTS {
            assert_eq!(ask(&bed).await, 503);
        }
        bed.store.faults().clear();
        tokio::time::sleep(Duration::from_millis(1_100)).await;
        for _ in 0..3 {
            assert_eq!(ask(&bed).await, 404);
        }
        bed.store.faults().aim(&["jobs/"]);
        let lines = LINES.lock().unwrap().clone();
        let [begun, over] = &lines[..] else {
            panic!("outage {outage}: {} lines, {lines:#?}", lines.len());
        };
        assert!(begun.contains("event=jobs-unreadable error="), "{begun}");
        let refused = format!("event=jobs-readable refused={REQUESTS} ");
        assert!(over.starts_with(&refused), "{over}");
        assert!(over.contains("after_ms="), "{over}");
    }
}

/// Guards against a pair of lines for each answer of a store that refuses a part of the calls.
#[test]
fn an_answer_between_refusals_does_not_end_an_outage() {
    let start = Instant::from_start(Duration::from_secs(1_000));
    let at = |ms| start + Duration::from_millis(ms);
    let mut outage = Outage::default();
    assert_eq!(outage.answered_at(at(0)), None);
    for ms in (0..5_000).step_by(500) {
        assert_eq!(outage.refused_at(at(ms)), ms == 0);
        assert_eq!(outage.answered_at(at(ms + 400)), None);
    }
    let over = outage.answered_at(at(5_500)).unwrap();
    assert_eq!(over.refused(), 10);
    assert_eq!(over.length(), Duration::from_millis(4_500));
    assert_eq!(outage.answered_at(at(9_000)), None);
    assert!(outage.refused_at(at(9_000)));
}
