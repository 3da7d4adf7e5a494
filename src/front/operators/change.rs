use std::sync::Arc;

use salvo::http::StatusCode;
use salvo::http::header::IF_MATCH;
use salvo::{Depot, Request};
use serde_json::json;

use super::conflict::explain;
use super::reply::Reply;
use super::role::{OPERATOR, ROLE};
use super::scope::needed;
use crate::config::{Outcome, Revision};
use crate::document::Problem;
use crate::fleet::{diff, parse};
use crate::node::{Applied, Audit, Shared};
use crate::settings::Role;

/// A change of the document that an operator asks for.
pub(super) struct Change {
    author: Arc<str>,
    role: Role,
    base: Option<u64>,
    action: &'static str,
}

impl Change {
    /// Reads who asks and the version on which the change is based.
    pub(super) fn read(
        request: &Request,
        depot: &Depot,
        action: &'static str,
    ) -> Result<Self, Reply> {
        Ok(Self {
            author: depot.get::<Arc<str>>(OPERATOR).cloned().unwrap_or_default(),
            role: depot.get::<Role>(ROLE).copied().unwrap_or(Role::View),
            base: read_base(request)?,
            action,
        })
    }

    /// Puts `content` in force. Goes on when the operator's connection ends, so that a change has
    /// its outcome in the audit row whoever still listens.
    pub(super) async fn run(self, shared: &Arc<Shared>, content: Arc<str>) -> Reply {
        let shared = shared.clone();
        let task = tokio::spawn(async move { self.perform(&shared, &content).await });
        task.await.unwrap_or_else(|_| {
            let body = json!({ "accepted": "unknown" });
            Reply::new(StatusCode::INTERNAL_SERVER_ERROR, body)
        })
    }

    async fn perform(mut self, shared: &Shared, content: &str) -> Reply {
        if let Err(reply) = self.permit(shared, content).await {
            return reply;
        }
        let origin = shared.origin(&self.author);
        let base = self.base.map_or("none".to_owned(), |b| b.to_string());
        let mut audit = Audit::new(&origin, self.action, &format!("base={base}"));
        if !shared.record(&audit).await {
            let reason = "the store does not take the audit row, so nothing was changed";
            return Reply::error(StatusCode::SERVICE_UNAVAILABLE, reason);
        }
        let applied = shared.apply_as(content, self.base, &origin).await;
        let (outcome, reply) = match applied {
            Applied::Invalid(problems) => ("invalid".to_owned(), refuse(&problems)),
            Applied::Committed(outcome) => {
                let reply = answer(shared, &outcome, self.base, content).await;
                (outcome.to_string(), reply)
            }
        };
        audit.outcome = outcome.into();
        // The outcome is also in the history, so an audit row that stays `started` can be resolved.
        shared.record(&audit).await;
        reply
    }

    /// Checks the document, and whether the operator's role allows what it changes.
    ///
    /// A role that allows only some changes fixes the base, so that what was compared is what is
    /// replaced.
    async fn permit(&mut self, shared: &Shared, content: &str) -> Result<(), Reply> {
        let sent = parse("fleet", content).map_err(|problems| refuse(&problems))?;
        if self.role >= Role::Administer {
            return Ok(());
        }
        let state = shared
            .control
            .read(|state| Some((state.revision()?, state.in_force()?.content.clone())));
        let Some((revision, current)) = state else {
            return Err(forbid("the first document"));
        };
        let version = revision.head.version;
        if self.base.is_some_and(|base| base != version) {
            return Err(explain(shared, &revision, self.base, content).await);
        }
        self.base = Some(version);
        let differences = match parse("fleet", &current) {
            Ok(current) => diff(&current, &sent),
            Err(_) => return Err(forbid("an unreadable document")),
        };
        let beyond = |d: &&crate::fleet::Difference| needed(std::slice::from_ref(*d)) > self.role;
        match differences.iter().find(beyond) {
            Some(difference) => Err(forbid(&difference.field)),
            None => Ok(()),
        }
    }
}

fn forbid(what: &str) -> Reply {
    let reason = format!("{what}: changing this needs the role {}", Role::Administer);
    Reply::error(StatusCode::FORBIDDEN, &reason)
}

fn refuse(problems: &[Problem]) -> Reply {
    Reply::new(StatusCode::UNPROCESSABLE_ENTITY, json!(problems))
}

async fn answer(shared: &Shared, outcome: &Outcome, base: Option<u64>, content: &str) -> Reply {
    match outcome {
        Outcome::Accepted(Revision { head, .. }) => {
            let body = json!({ "version": head.version, "operation": head.operation });
            Reply::new(StatusCode::OK, body).with_version(head.version)
        }
        Outcome::Conflict(revision) => explain(shared, revision, base, content).await,
        Outcome::Refused(reason) => {
            Reply::error(StatusCode::SERVICE_UNAVAILABLE, &reason.to_string())
        }
        Outcome::Unknown(operation) => {
            let body = json!({ "accepted": "unknown", "operation": operation });
            Reply::new(StatusCode::GATEWAY_TIMEOUT, body)
        }
    }
}

fn read_base(request: &Request) -> Result<Option<u64>, Reply> {
    let Some(value) = request.headers().get(IF_MATCH) else {
        return Ok(None);
    };
    let text = value.to_str().ok().map(|text| text.trim_matches('"'));
    let version = text.and_then(|text| text.parse().ok());
    let wrong = || Reply::error(StatusCode::BAD_REQUEST, "accepted: If-Match with a version");
    version.map(Some).ok_or_else(wrong)
}
