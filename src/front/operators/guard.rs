use salvo::http::header::{
    CACHE_CONTROL, CONTENT_SECURITY_POLICY, HeaderName, HeaderValue, REFERRER_POLICY,
    X_CONTENT_TYPE_OPTIONS,
};
use salvo::{Response, handler};

/// What browsers may do with each answer; the console replaces the policy for its own files.
const HEADERS: [(HeaderName, &str); 4] = [
    (CACHE_CONTROL, "no-store"),
    (X_CONTENT_TYPE_OPTIONS, "nosniff"),
    (REFERRER_POLICY, "no-referrer"),
    (
        CONTENT_SECURITY_POLICY,
        "default-src 'none'; frame-ancestors 'none'",
    ),
];

/// Sets the headers that keep browsers from storing, guessing at or framing answers.
pub(super) struct Guard;

#[handler]
impl Guard {
    async fn handle(&self, response: &mut Response) {
        for (name, value) in HEADERS {
            let value = HeaderValue::from_static(value);
            response.headers_mut().insert(name, value);
        }
    }
}
