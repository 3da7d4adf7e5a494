use std::sync::Arc;

use serde::Deserialize;

use crate::batch::Offer;
use crate::jobs::Size;

/// Amount of resources in the format of the platform.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub(super) struct Resources {
    cpu: u64,
    mem_mb: u64,
    gpu: u64,
}

impl From<Resources> for Size {
    fn from(resources: Resources) -> Self {
        Self::new(resources.cpu, resources.mem_mb, resources.gpu)
    }
}

/// Registration of a worker, as the worker writes it. Fields without a default are required.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Registration {
    service: Arc<str>,
    address: Arc<str>,
    zone: Arc<str>,
    state: String,
    #[serde(default)]
    capacity: Resources,
    #[serde(default)]
    labels: Vec<Arc<str>>,
    #[serde(default)]
    machine: Arc<str>,
    #[serde(default)]
    born: u64,
}

/// Decodes the registration of a worker. Returns `None` if the row has other content, which another
/// writer may have left there.
///
/// ```
/// let text = br#"{"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready"}"#;
/// let offer = coriandernotch::platform::api::decode_offer("i-1", text).unwrap();
/// assert_eq!(&*offer.id, "i-1");
/// assert!(coriandernotch::platform::api::decode_offer("i-1", b"{}").is_none());
/// ```
pub fn decode_offer(id: &str, content: &[u8]) -> Option<Offer> {
    let registration: Registration = serde_json::from_slice(content).ok()?;
    let draining = match registration.state.as_str() {
        "ready" => false,
        "draining" => true,
        _ => return None,
    };
    registration.address.parse::<std::net::SocketAddr>().ok()?;
    Some(Offer {
        id: id.into(),
        born_ms: registration.born,
        service: registration.service,
        address: registration.address,
        data_centre: registration.zone,
        machine: registration.machine,
        draining,
        capacity: registration.capacity.into(),
        labels: registration.labels,
    })
}
