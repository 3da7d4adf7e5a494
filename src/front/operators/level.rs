use std::str::FromStr;
use std::sync::Arc;

use log::LevelFilter;
use salvo::http::StatusCode;
use salvo::{Depot, Request, Response, handler};

use super::role::OPERATOR;
use crate::node::{Audit, Shared};

/// Longest accepted body in bytes; the longest level has five letters.
const MAX_BODY: usize = 16;

/// Sets the log level of the process.
pub(super) struct SetLevel(pub(super) Arc<Shared>);

#[handler]
impl SetLevel {
    async fn handle(&self, request: &mut Request, depot: &mut Depot, response: &mut Response) {
        let body = request.payload_with_max_size(MAX_BODY).await.ok();
        let text = body
            .and_then(|b| std::str::from_utf8(b).ok())
            .unwrap_or("")
            .trim();
        match LevelFilter::from_str(text) {
            Ok(level) => {
                log::set_max_level(level);
                response.render(format!("{level}\n"));
                let author = depot.get::<Arc<str>>(OPERATOR).cloned().unwrap_or_default();
                self.record(&author, level);
            }
            Err(_) => {
                response.status_code(StatusCode::BAD_REQUEST);
                response.render("accepted: error, warn, info, debug, trace, off\n");
            }
        }
    }
}

impl SetLevel {
    /// Writes the audit row without waiting: the level is wanted most while the store is down.
    fn record(&self, author: &str, level: LevelFilter) {
        let detail = format!("instance={} level={level}", self.0.member.name);
        let mut audit = Audit::new(&self.0.origin(author), "set-log-level", &detail);
        audit.outcome = "done".into();
        let shared = self.0.clone();
        tokio::spawn(async move { shared.record(&audit).await });
    }
}
