use std::sync::Arc;

use salvo::http::StatusCode;
use salvo::{Depot, FlowCtrl, Request, Response, handler};

use crate::fleet::Digest;
use crate::node::Shared;
use crate::settings::{Operator, Role};

/// Name of the operator who signed in, kept for the handlers behind.
pub(super) const OPERATOR: &str = "operator";

/// Name of the role of that operator.
pub(super) const ROLE: &str = "role";

/// Lets operators through whose key has at least a role.
pub(super) struct Require {
    shared: Arc<Shared>,
    role: Role,
}

impl Require {
    pub(super) fn new(shared: Arc<Shared>, role: Role) -> Self {
        Self { shared, role }
    }

    /// Returns the operator whose key the request carries.
    fn find(&self, request: &Request) -> Result<&Operator, StatusCode> {
        if is_foreign(request) {
            return Err(StatusCode::FORBIDDEN);
        }
        let key = request.headers().get("authorization").map(|v| v.as_bytes());
        let key = key
            .and_then(|v| v.strip_prefix(b"Bearer "))
            .ok_or(StatusCode::UNAUTHORIZED)?;
        let digest = Digest::of(key);
        let mut operators = self.shared.settings.operators.iter();
        let operator = operators.find(|o| o.digest.matches(&digest));
        let operator = operator.ok_or(StatusCode::UNAUTHORIZED)?;
        match operator.role >= self.role {
            true => Ok(operator),
            false => Err(StatusCode::FORBIDDEN),
        }
    }
}

/// Tells whether a browser sent the request for a page of another site.
///
/// Keys travel in a header that such a page cannot set unasked, so this is the second bar.
fn is_foreign(request: &Request) -> bool {
    let header = |name: &str| request.headers().get(name).and_then(|v| v.to_str().ok());
    let origin = header("origin").map(|o| o.split_once("://").map_or(o, |(_, host)| host));
    header("sec-fetch-site").is_some_and(|site| site == "cross-site" || site == "same-site")
        || origin.is_some_and(|origin| header("host") != Some(origin))
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
            Ok(operator) => {
                depot.insert(OPERATOR, operator.name.clone());
                depot.insert(ROLE, operator.role);
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
