use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde_json::json;

use super::call::Call;
use super::names::{DUTY_HOLDER, FENCING_TOKEN};
use super::registration::Resources;
use super::{Fault, Link};
use crate::batch::Machine;
use crate::clock::Instant;
use crate::jobs::Size;
use crate::platform::http::encode_query;

/// Client of the machine service of the platform: lists, maintains and moves machines.
pub struct Fleet {
    link: Link,
    /// Name of this instance, sent with each order.
    holder: String,
}

/// One page of the list of machines.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Page {
    machines: Vec<WireMachine>,
    next_token: Option<String>,
}

/// A machine as listed by the platform. Its name, pool and state show whether its worker may run,
/// so they have no defaults.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireMachine {
    machine: Arc<str>,
    pool: Arc<str>,
    state: String,
    #[serde(default)]
    zone: Arc<str>,
    #[serde(default)]
    capacity: Resources,
}

impl Fleet {
    /// Creates a client that sends orders in the name of `holder`.
    ///
    /// ```
    /// drop(coriandernotch::platform::api::Fleet::new("127.0.0.1:1".parse().unwrap(), "entry-1"));
    /// ```
    pub fn new(address: SocketAddr, holder: &str) -> Self {
        Self {
            link: Link::new(address),
            holder: holder.into(),
        }
    }

    /// Lists all machines.
    ///
    /// # Errors
    ///
    /// Fails without a partial result if a page cannot be read.
    pub async fn list(&self, timeout: Duration) -> Result<Vec<Machine>, Fault> {
        let step = "list-machines";
        let mut machines = Vec::new();
        let mut path = "/api/machines".to_owned();
        loop {
            let response = self.link.exchange(Call::get(step, &path, timeout)).await?;
            if response.status != 200 {
                return Err(self.link.refused(step, response.status));
            }
            let page: Page = serde_json::from_slice(&response.body)
                .map_err(|e| self.link.unknown(step, e.to_string()))?;
            machines.extend(page.machines.into_iter().map(Machine::from));
            let Some(page_token) = page.next_token.filter(|token| !token.is_empty()) else {
                return Ok(machines);
            };
            path = format!("/api/machines?pageToken={}", encode_query(&page_token));
        }
    }

    /// Orders the maintenance of a machine for a wave, unless it is `not_after` or later. Returns
    /// whether the maintenance has started or was already done; if so, all runs on the machine have
    /// ended.
    ///
    /// # Errors
    ///
    /// [`Fault::Unknown`] means that the order may have been carried out.
    pub async fn maintain(
        &self,
        machine: &str,
        wave: u64,
        fencing_token: u64,
        not_after: Instant,
        timeout: Duration,
    ) -> Result<bool, Fault> {
        let body = json!({"machine": machine, "wave": wave}).to_string();
        let call = Call {
            not_after: Some(not_after),
            ..Call::post("maintain", "/api/machine-upkeep", body, timeout)
        };
        self.send_order(call, fencing_token).await
    }

    /// Moves a machine to another pool, unless it is `not_after` or later. Returns whether the move
    /// was accepted; if so, all runs on the machine have ended.
    ///
    /// # Errors
    ///
    /// [`Fault::Unknown`] means that the order may have been carried out.
    pub async fn relocate(
        &self,
        machine: &str,
        pool: &str,
        fencing_token: u64,
        not_after: Instant,
        timeout: Duration,
    ) -> Result<bool, Fault> {
        let body = json!({"machine": machine, "pool": pool}).to_string();
        let call = Call {
            not_after: Some(not_after),
            ..Call::post("relocate", "/api/machine-move", body, timeout)
        };
        self.send_order(call, fencing_token).await
    }

    /// Sends an order; returns whether the platform accepted it.
    async fn send_order(&self, call: Call<'_>, fencing_token: u64) -> Result<bool, Fault> {
        let step = call.step;
        let headers = [
            (DUTY_HOLDER, self.holder.clone()),
            (FENCING_TOKEN, fencing_token.to_string()),
        ];
        let call = Call {
            headers: &headers,
            ..call
        };
        match self.link.exchange(call).await?.status {
            200 => Ok(true),
            400 | 409 => Ok(false),
            status => Err(self.link.refused(step, status)),
        }
    }
}

impl From<WireMachine> for Machine {
    fn from(wire: WireMachine) -> Self {
        Self {
            name: wire.machine,
            pool: wire.pool,
            up: wire.state == "up",
            processors: Size::from(wire.capacity).processors,
            data_centre: wire.zone,
        }
    }
}
