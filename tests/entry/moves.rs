use std::time::{Duration, Instant};

use serde_json::json;

use crate::fleet::Fleet;
use crate::instance::{start_with_machines, wait_until};
use crate::platform::{ONE, register, start_platform};
use crate::worker::Worker;

/// Number of machines that are lent to the service.
const LENT: usize = 10;

/// Guards against a task that waits while orders to move machines get no answer: all workers that
/// were to move got no starts until the last of these orders had timed out (rule LOST).
#[tokio::test(flavor = "multi_thread")]
async fn starts_a_task_while_orders_to_move_machines_hang() {
    let (store, address, _) = start_platform().await;
    store.remove("servers", "i-1");
    store.write(
        "op",
        "config",
        &json!({
            "version": 4,
            "routes": [{"name": "q", "host": "h.example", "prefix": "/q/", "service": "s",
                "maxAttempts": 3, "stretch": 1.6, "targetDurationMs": 600}],
            "services": [{"name": "s"}, {"name": "spare", "standby": true}],
            "tenants": [{"name": "w", "apiKeys": ["key-1"], "weight": 1}],
        }),
    );
    let mut fleet = Fleet::default();
    let mut lent = Vec::new();
    for number in 0..LENT {
        let id = format!("x-{number}");
        register(&store, &id, Worker::new(&id).start().await);
        fleet.add(&format!("m-{id}"), "s");
        lent.push(json!([format!("m-{id}"), "spare"]));
    }
    let previous = json!({"holder": "previous", "token": 1, "vacant": true, "homes": lent});
    store.write("leaders", "owner", &previous);
    let instance = start_with_machines("moves", address, fleet.start().await);
    wait_until("machines are to move", || fleet.orders() > 0).await;
    let submitted = Instant::now();
    instance.submit(ONE, "lasting").await;
    instance.wait_for_state(ONE, "running").await;
    let took = submitted.elapsed();
    assert!(took < Duration::from_secs(4), "{took:?}");
}
