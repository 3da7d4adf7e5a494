use serde::Deserialize;

/// Response of a worker to an order.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub(super) struct Receipt {
    pub(super) clock_ms: Option<u64>,
    pub(super) reason: String,
}
