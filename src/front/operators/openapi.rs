use salvo::{Response, handler};

use super::reply::render_json;

/// Answers with the OpenAPI description of the operators' port.
pub(super) struct OpenApi;

#[handler]
impl OpenApi {
    async fn handle(&self, response: &mut Response) {
        render_json(response, include_str!("openapi.json").to_owned());
    }
}
