use hyper::{Method, StatusCode};

use super::Client;
use crate::platform::{Answer, Command, Error, Machines};

impl Machines for Client {
    fn order(&self, command: Command) -> Answer<'_, ()> {
        Box::pin(async move {
            let step = "order";
            let body =
                serde_json::to_vec(&command).map_err(|e| self.unavailable(step, e.to_string()))?;
            let response = self
                .call(step, Method::POST, "/instances/orders", body.into())
                .await?;
            match response {
                (StatusCode::CONFLICT, body) if *body == *command.instance.as_bytes() => {
                    Err(Error::Conflict {
                        key: command.instance,
                    })
                }
                (StatusCode::CONFLICT, _) => {
                    Err(self.unknown(step, "conflict names another instance".into()))
                }
                _ => Ok(()),
            }
        })
    }
}
