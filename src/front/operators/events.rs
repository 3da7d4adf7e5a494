use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use salvo::http::StatusCode;
use salvo::{Response, handler};
use serde_json::json;

use super::reply::Reply;
use crate::clock::{self, Instant};
use crate::event::Entry;
use crate::node::Shared;

/// Answers with the events of the last hour at this instance, the newest first.
pub(super) struct Events(pub(super) Arc<Shared>);

#[handler]
impl Events {
    async fn handle(&self, response: &mut Response) {
        let now = clock::now();
        let wall = SystemTime::now().duration_since(UNIX_EPOCH);
        let wall = wall.unwrap_or_default();
        // Milliseconds since 1970, from the age on the clock that no one sets.
        let time = |at: Instant| wall.saturating_sub(now.since(at)).as_millis() as u64;
        let entry = |e: &Entry| {
            let mut value = json!(e.event);
            value["first"] = time(e.first).into();
            value["last"] = time(e.last).into();
            value["count"] = e.count.into();
            value
        };
        let events = self.0.events().list(now);
        let events: Vec<_> = events.iter().map(entry).collect();
        let body = json!({ "instance": self.0.member.name, "events": events });
        Reply::new(StatusCode::OK, body).render(response);
    }
}
