use salvo::Response;
use salvo::http::StatusCode;
use salvo::http::header::{CONTENT_TYPE, ETAG, HeaderValue};
use salvo::writing::Json;
use serde_json::Value;

/// Answer to an operator.
pub(super) struct Reply {
    pub(super) status: StatusCode,
    /// Version that goes into the ETag.
    pub(super) version: Option<u64>,
    pub(super) body: Value,
}

impl Reply {
    pub(super) fn new(status: StatusCode, body: Value) -> Self {
        Self {
            status,
            version: None,
            body,
        }
    }

    pub(super) fn error(status: StatusCode, reason: &str) -> Self {
        let body = serde_json::json!({ "accepted": false, "reason": reason });
        Self::new(status, body)
    }

    pub(super) fn with_version(mut self, version: u64) -> Self {
        self.version = Some(version);
        self
    }

    pub(super) fn render(self, response: &mut Response) {
        response.status_code(self.status);
        if let Some(version) = self.version {
            set_etag(response, version);
        }
        response.render(Json(self.body));
    }
}

/// Answers with a text that is JSON already.
pub(super) fn render_json(response: &mut Response, text: String) {
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response.body(text);
}

pub(super) fn set_etag(response: &mut Response, version: u64) {
    if let Ok(value) = HeaderValue::from_str(&format!("\"{version}\"")) {
        response.headers_mut().insert(ETAG, value);
    }
}
