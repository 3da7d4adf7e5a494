use serde_json::json;

use crate::instance::{request_until, start_instance};
use crate::platform::{ONE, THREE, TWO, job, start_platform};

/// Share of the calls to the worker that get no answer, in percent. The connection of such a call is
/// dropped, so that the next one needs another.
const LOST_PERCENT: u64 = 20;

/// Number of connections that the test sees at least.
const MIN_CONNECTIONS: usize = 4;

/// Guards against orders and acknowledgements that reach another process which has the id of the
/// worker: the header that names the worker does not tell them apart. A new connection may lead to
/// such a process, so the first call on it starts nothing and acknowledges nothing (rule TWICE).
#[tokio::test(flavor = "multi_thread")]
async fn finds_out_first_which_process_a_new_connection_leads_to() {
    let (_store, address, worker) = start_platform().await;
    worker.lose_calls(LOST_PERCENT, 1);
    let instance = start_instance("new-connections", address);
    for path in [ONE, TWO, THREE] {
        request_until(instance.callers, "POST", path, &job("100", 8), |s, _| {
            s == 200
        })
        .await;
        instance.wait_for_state(path, "completed").await;
    }
    let calls = worker.first_calls();
    assert!(calls.len() >= MIN_CONNECTIONS, "{calls:?}");
    for (path, body) in calls {
        assert_ne!(path, "/api/run-start", "{body}");
        let position = body.get("ackPosition").unwrap_or(&json!(0)).clone();
        assert_eq!(position, json!(0), "{path}");
    }
}
