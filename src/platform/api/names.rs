use serde_json::json;

/// Path of the readiness check, by which the load balancer asks whether an instance accepts new
/// connections.
pub const READINESS_PATH: &str = "/api/readyz";

/// Table in which operators request changes.
pub(super) const OPERATOR_TABLE: &str = "op";
/// Table in which workers register.
pub(super) const WORKER_TABLE: &str = "servers";
/// Table in which progress is reported to operators.
pub(super) const STATUS_TABLE: &str = "status";

/// Header with the identifier of the worker process that a request is meant for.
pub(super) const EXPECT_INSTANCE: &str = "x-expect-instance";
/// Header with the name of the instance that sends an order.
pub(super) const DUTY_HOLDER: &str = "x-duty-holder";
/// Header with the fencing token of an order.
pub(super) const FENCING_TOKEN: &str = "x-fencing-token";

/// Returns the key and content of the row that reports the state of a wave to operators.
///
/// ```
/// let (key, _) = coriandernotch::platform::api::wave_status(3, true);
/// assert_eq!(key, "wave/3");
/// ```
pub fn wave_status(number: u64, complete: bool) -> (String, Vec<u8>) {
    let state = if complete { "completed" } else { "running" };
    let content = json!({ "state": state }).to_string();
    (format!("wave/{number}"), content.into_bytes())
}
