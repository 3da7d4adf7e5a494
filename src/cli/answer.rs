use hyper::StatusCode;
use serde_json::Value;

use super::exit::Exit;

/// Answer of an entry instance.
#[derive(Clone, Debug)]
pub(super) struct Answer {
    pub(super) status: StatusCode,
    /// Version in the ETag.
    pub(super) version: Option<u64>,
    pub(super) body: String,
}

impl Answer {
    /// Reads the body; `Null` when it is not JSON.
    pub(super) fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// Reports an answer that is not a success.
    pub(super) fn report(&self) -> Exit {
        eprintln!("{}: {}", self.status, self.body.trim_end());
        Exit::from(self.status)
    }
}
