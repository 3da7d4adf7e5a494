use serde_json::json;

use crate::instance::request_until;
use crate::platform::{TWO, job};
use crate::scene::{RUNNING, start};

/// Largest legal body.
const MAX_BODY: usize = 262_144;

/// Guards against limits that a request inside the limits runs into: a body of the largest legal size
/// on a calm instance.
#[tokio::test(flavor = "multi_thread")]
async fn serves_the_largest_legal_body_when_calm() {
    let _running = RUNNING.lock().await;
    let (_platform, instance) = start("calm").await;
    let mut body = job("1", 1);
    body["ignored"] = json!("");
    let length = body.to_string().len();
    body["ignored"] = json!(" ".repeat(MAX_BODY - length));
    assert_eq!(body.to_string().len(), MAX_BODY);
    let begun = std::time::Instant::now();
    request_until(instance.callers, "POST", TWO, &body, |s, _| s == 200).await;
    println!("served after {:?}", begun.elapsed());
}
