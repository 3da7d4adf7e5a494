use hyper::body::Bytes;
use serde_json::json;

use crate::batch::State;

/// Number of hexadecimal digits in a job identifier.
const JOB_ID_DIGITS: usize = 16;

/// Operation that a caller requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// Submit a job.
    Submit,
    /// Get the state of a job.
    Ask,
    /// Cancel a job.
    Cancel,
    /// Get the number of waiting jobs of a queue.
    Count,
}

/// Decodes requests of callers and encodes the responses.
#[derive(Clone, Copy, Debug)]
pub struct Caller;

impl Caller {
    /// Returns the operation for an HTTP method and the part of the path after the prefix of the
    /// queue, or `None` if they denote none.
    ///
    /// ```
    /// use coriandernotch::platform::api::{Caller, Method};
    ///
    /// assert_eq!(Caller::method("POST", "5c0e7a21d94b36f8"), Some(Method::Submit));
    /// assert_eq!(Caller::method("GET", ""), Some(Method::Count));
    /// assert_eq!(Caller::method("POST", "x"), None);
    /// ```
    pub fn method(method: &str, rest: &str) -> Option<Method> {
        let is_id = rest.len() == JOB_ID_DIGITS && rest.bytes().all(|b| b.is_ascii_hexdigit());
        match method {
            "POST" if is_id => Some(Method::Submit),
            "GET" if is_id => Some(Method::Ask),
            "DELETE" if is_id => Some(Method::Cancel),
            "GET" if rest.is_empty() => Some(Method::Count),
            _ => None,
        }
    }

    /// Extracts the API key of a caller from the value of its `Authorization` header.
    pub fn key(header: &str) -> Option<&str> {
        header.strip_prefix("Bearer ").map(str::trim)
    }

    /// Returns the name of the header in which callers state how long they wait, in milliseconds.
    pub fn deadline_header() -> &'static str {
        "x-deadline-ms"
    }

    /// Encodes the state of a job.
    pub fn state(state: State) -> Bytes {
        Bytes::from(json!({"state": state.to_string()}).to_string())
    }

    /// Encodes the number of waiting jobs of a queue.
    pub fn pending(count: u64) -> Bytes {
        Bytes::from(json!({"pending": count}).to_string())
    }

    /// Encodes the reason why a request was not served.
    pub fn reason(reason: &str) -> Bytes {
        Bytes::from(json!({"reason": reason}).to_string())
    }
}
