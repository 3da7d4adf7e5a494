use std::time::Duration;

use bytes::Bytes;
use hyper::Method;

use crate::clock::Instant;

/// HTTP request to send over a [`super::Link`].
#[derive(Clone, Debug)]
pub(super) struct Call<'a> {
    /// Name of the call in errors and metrics.
    pub(super) step: &'static str,
    pub(super) method: Method,
    pub(super) path: &'a str,
    pub(super) headers: &'a [(&'a str, String)],
    pub(super) body: Bytes,
    /// Time allowed for connecting, sending the request and reading the response.
    pub(super) timeout: Duration,
    /// When the permission for the request ends, if it does; it is not sent afterwards.
    pub(super) not_after: Option<Instant>,
}

impl<'a> Call<'a> {
    pub(super) fn get(step: &'static str, path: &'a str, timeout: Duration) -> Self {
        Self {
            step,
            method: Method::GET,
            path,
            headers: &[],
            body: Bytes::new(),
            timeout,
            not_after: None,
        }
    }

    pub(super) fn post(
        step: &'static str,
        path: &'a str,
        body: impl Into<Bytes>,
        timeout: Duration,
    ) -> Self {
        Self {
            step,
            method: Method::POST,
            path,
            headers: &[],
            body: body.into(),
            timeout,
            not_after: None,
        }
    }
}
