use std::str::FromStr;

use log::LevelFilter;
use salvo::http::StatusCode;
use salvo::{Request, Response, handler};

/// Longest accepted body in bytes; the longest level has five letters.
const MAX_BODY: usize = 16;

/// Sets the log level of the process.
pub(super) struct SetLevel;

#[handler]
impl SetLevel {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let body = request.payload_with_max_size(MAX_BODY).await.ok();
        let text = body
            .and_then(|b| std::str::from_utf8(b).ok())
            .unwrap_or("")
            .trim();
        match LevelFilter::from_str(text) {
            Ok(level) => {
                log::set_max_level(level);
                response.render(format!("{level}\n"));
            }
            Err(_) => {
                response.status_code(StatusCode::BAD_REQUEST);
                response.render("accepted: error, warn, info, debug, trace, off\n");
            }
        }
    }
}
