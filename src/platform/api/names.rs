use serde_json::json;

/// Path at which the balancer asks whether an instance takes new connections.
pub const READINESS_PATH: &str = "/api/readyz";

/// Tables that operators and workers write.
pub(super) const OPERATOR_TABLE: &str = "op";
pub(super) const WORKER_TABLE: &str = "servers";
pub(super) const STATUS_TABLE: &str = "status";

/// Headers of orders.
pub(super) const EXPECT_INSTANCE: &str = "x-expect-instance";
pub(super) const DUTY_HOLDER: &str = "x-duty-holder";
pub(super) const FENCING_TOKEN: &str = "x-fencing-token";

/// Returns the key and content by which the state of a wave is reported to operators.
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
