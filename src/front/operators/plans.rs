use std::sync::Arc;

use salvo::http::StatusCode;
use salvo::writing::Json;
use salvo::{Depot, Request, Response, handler};

use super::role::OPERATOR;
use crate::node::{Audit, Shared};
use crate::plans::Status;
use crate::platform::Error;

/// Answers with where the plans stand, as the managing instance last wrote it.
pub(super) struct ReadPlans(pub(super) Arc<Shared>);

#[handler]
impl ReadPlans {
    async fn handle(&self, response: &mut Response) {
        match self.0.plans().await {
            Ok(Some(survey)) => response.render(Json(survey)),
            // No instance has managed the pools yet.
            Ok(None) => response.render(Json(serde_json::json!({ "plans": [] }))),
            Err(error) => refuse(response, &error),
        }
    }
}

/// Pauses, resumes or withdraws a plan.
pub(super) struct CommandPlan(pub(super) Arc<Shared>);

#[handler]
impl CommandPlan {
    async fn handle(&self, request: &mut Request, depot: &mut Depot, response: &mut Response) {
        let name = request.param::<String>("name").unwrap_or_default();
        let action = request.param::<String>("action").unwrap_or_default();
        let status = match &*action {
            "pause" => Status::Paused,
            "resume" => Status::Running,
            "withdraw" => Status::Withdrawn,
            _ => {
                response.status_code(StatusCode::NOT_FOUND);
                response.render("accepted: pause, resume, withdraw\n");
                return;
            }
        };
        let current = self.0.control.current();
        let document = current.as_ref().and_then(|current| current.document());
        if !document.is_some_and(|d| d.plans.iter().any(|plan| *plan.name == *name)) {
            response.status_code(StatusCode::NOT_FOUND);
            response.render(format!("no plan has the name {name:?}\n"));
            return;
        }
        let author = depot.get::<Arc<str>>(OPERATOR).cloned().unwrap_or_default();
        let origin = self.0.origin(&author);
        let mut audit = Audit::new(
            &origin,
            "command-plan",
            &format!("plan={name} action={action}"),
        );
        if !self.0.record(&audit).await {
            response.status_code(StatusCode::SERVICE_UNAVAILABLE);
            response.render("the store does not take the audit row, so nothing was changed\n");
            return;
        }
        let result = self.0.command_plan(&name, status, &author).await;
        audit.outcome = match &result {
            Ok(record) => format!("status={}", record.status).into(),
            Err(error) => error.to_string().into(),
        };
        self.0.record(&audit).await;
        match result {
            Ok(record) if record.status == status => response.render(Json(record)),
            Ok(record) => {
                response.status_code(StatusCode::CONFLICT);
                response.render(Json(record));
            }
            Err(error) => refuse(response, &error),
        }
    }
}

/// States whether a command may have taken effect.
fn refuse(response: &mut Response, error: &Error) {
    let unknown = matches!(error, Error::Unknown { .. });
    response.status_code(match unknown {
        true => StatusCode::GATEWAY_TIMEOUT,
        false => StatusCode::SERVICE_UNAVAILABLE,
    });
    let accepted = match unknown {
        true => serde_json::json!("unknown"),
        false => serde_json::json!(false),
    };
    response.render(Json(
        serde_json::json!({ "accepted": accepted, "reason": error.to_string() }),
    ));
}
