use salvo::http::header::{CONTENT_SECURITY_POLICY, CONTENT_TYPE, HeaderValue};
use salvo::{Response, handler};

/// Scripts, styles and calls from the same origin only; nothing inline, framed or posted.
const POLICY: &str = "default-src 'none'; script-src 'self'; style-src 'self'; \
    connect-src 'self'; base-uri 'none'; form-action 'none'; frame-ancestors 'none'";

/// A file of the console.
#[derive(Clone, Copy)]
pub(super) enum Console {
    Page,
    Script,
    Style,
}

#[handler]
impl Console {
    async fn handle(&self, response: &mut Response) {
        let (kind, text) = match self {
            Self::Page => (
                "text/html; charset=utf-8",
                include_str!("console/index.html"),
            ),
            Self::Script => (
                "text/javascript; charset=utf-8",
                include_str!("console/console.js"),
            ),
            Self::Style => (
                "text/css; charset=utf-8",
                include_str!("console/console.css"),
            ),
        };
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(kind));
        headers.insert(CONTENT_SECURITY_POLICY, HeaderValue::from_static(POLICY));
        response.body(text);
    }
}
