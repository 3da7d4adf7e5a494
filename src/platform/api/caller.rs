use hyper::body::Bytes;
use serde_json::json;

use crate::batch::State;

/// Digits of the identity of a job.
const ID_DIGITS: usize = 16;

/// What a caller asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// Hand a job in.
    Submit,
    /// Ask for the state of a job.
    Ask,
    /// End a job.
    Cancel,
    /// Ask how many jobs of a queue wait.
    Count,
}

/// Forms of callers' requests and of the answers to them.
#[derive(Clone, Copy, Debug)]
pub struct Caller;

impl Caller {
    /// Returns what a request asks for, from its method and the path after the prefix of its queue.
    ///
    /// ```
    /// use coriandernotch::platform::api::{Caller, Method};
    ///
    /// assert_eq!(Caller::method("POST", "5c0e7a21d94b36f8"), Some(Method::Submit));
    /// assert_eq!(Caller::method("GET", ""), Some(Method::Count));
    /// assert_eq!(Caller::method("POST", "x"), None);
    /// ```
    pub fn method(method: &str, rest: &str) -> Option<Method> {
        let is_id = rest.len() == ID_DIGITS && rest.bytes().all(|b| b.is_ascii_hexdigit());
        match method {
            "POST" if is_id => Some(Method::Submit),
            "GET" if is_id => Some(Method::Ask),
            "DELETE" if is_id => Some(Method::Cancel),
            "GET" if rest.is_empty() => Some(Method::Count),
            _ => None,
        }
    }

    /// Returns the key of a caller from its `Authorization` header.
    pub fn key(header: &str) -> Option<&str> {
        header.strip_prefix("Bearer ").map(str::trim)
    }

    /// Returns the header in which callers say how long they wait, in milliseconds.
    pub fn deadline_header() -> &'static str {
        "x-deadline-ms"
    }

    /// Writes the state of a job.
    pub fn state(state: State) -> Bytes {
        Bytes::from(json!({"state": state.to_string()}).to_string())
    }

    /// Writes how many jobs of a queue wait.
    pub fn pending(count: u64) -> Bytes {
        Bytes::from(json!({"pending": count}).to_string())
    }

    /// Writes why a request was not served.
    pub fn reason(reason: &str) -> Bytes {
        Bytes::from(json!({"reason": reason}).to_string())
    }
}
