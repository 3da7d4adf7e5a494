use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde_json::json;

use super::call::Call;
use super::{Fault, Link, task_name};
use crate::batch::TaskId;

/// Maximum number of workers in one request.
const MAX_WORKERS: usize = 100;

/// Client of the advice service, which decides which workers may run the tasks of a step.
pub struct Adviser {
    link: Link,
}

/// Response of the advice service.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct Advice {
    /// Identifier and ticket of each worker that may run the step.
    #[serde(rename = "good")]
    tickets: Vec<(Arc<str>, Arc<str>)>,
    /// Validity of the tickets.
    valid_ms: u64,
}

impl Adviser {
    /// Creates a client, which connects on the first request.
    ///
    /// ```
    /// drop(coriandernotch::platform::api::Adviser::new("127.0.0.1:1".parse().unwrap()));
    /// ```
    pub fn new(address: SocketAddr) -> Self {
        let link = Link::new(address);
        Self { link }
    }

    /// Asks which workers may run the step of a task; sends only the first `MAX_WORKERS` of them.
    ///
    /// Returns worker identifiers with their tickets, and how long the tickets are valid.
    ///
    /// # Errors
    ///
    /// Fails if the service cannot be reached or returns an unexpected response.
    pub async fn ask(
        &self,
        task: &TaskId,
        workers: &[Arc<str>],
        timeout: Duration,
    ) -> Result<(Vec<(Arc<str>, Arc<str>)>, Duration), Fault> {
        let step = "advise";
        let workers = &workers[..workers.len().min(MAX_WORKERS)];
        let body = json!({"step": task_name::encode_step(task), "workers": workers});
        let call = Call::post(step, "/api/advise", body.to_string(), timeout);
        let response = self.link.exchange(call).await?;
        if response.status != 200 {
            return Err(self.link.refused(step, response.status));
        }
        let advice: Advice = serde_json::from_slice(&response.body)
            .map_err(|e| self.link.unknown(step, e.to_string()))?;
        Ok((advice.tickets, Duration::from_millis(advice.valid_ms)))
    }
}
