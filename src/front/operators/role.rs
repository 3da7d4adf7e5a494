use std::sync::Arc;

use salvo::http::StatusCode;
use salvo::{Depot, FlowCtrl, Request, Response, handler};

use crate::fleet::Digest;
use crate::node::Shared;
use crate::settings::Role;

/// Name of the operator who signed in, kept for the handlers behind.
pub(super) const OPERATOR: &str = "operator";

/// Lets operators through whose key has at least a role.
pub(super) struct Require {
    shared: Arc<Shared>,
    role: Role,
}

impl Require {
    pub(super) fn new(shared: Arc<Shared>, role: Role) -> Self {
        Self { shared, role }
    }

    /// Returns the name of the operator whose key the request carries.
    fn find(&self, request: &Request) -> Result<Arc<str>, StatusCode> {
        let key = request.headers().get("authorization").map(|v| v.as_bytes());
        let key = key
            .and_then(|v| v.strip_prefix(b"Bearer "))
            .ok_or(StatusCode::UNAUTHORIZED)?;
        let digest = Digest::of(key);
        let mut operators = self.shared.settings.operators.iter();
        let operator = operators.find(|o| o.digest.matches(&digest));
        let operator = operator.ok_or(StatusCode::UNAUTHORIZED)?;
        match operator.role >= self.role {
            true => Ok(operator.name.clone()),
            false => Err(StatusCode::FORBIDDEN),
        }
    }
}

#[handler]
impl Require {
    async fn handle(
        &self,
        request: &mut Request,
        depot: &mut Depot,
        response: &mut Response,
        control: &mut FlowCtrl,
    ) {
        match self.find(request) {
            Ok(name) => {
                depot.insert(OPERATOR, name);
            }
            Err(status) => {
                response.status_code(status);
                response.render(format!(
                    "this needs an operator key with the role {}\n",
                    self.role
                ));
                control.skip_rest();
            }
        }
    }
}
