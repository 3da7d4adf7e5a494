use std::sync::Arc;

use serde::Deserialize;

use crate::batch::Offer;
use crate::jobs::Size;

/// Amount of resources on the wire.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub(super) struct Room {
    cpu: u64,
    mem_mb: u64,
    gpu: u64,
}

impl From<Room> for Size {
    fn from(room: Room) -> Self {
        Self::new(room.cpu, room.mem_mb, room.gpu)
    }
}

/// What a worker writes about itself. Fields without a default must be there.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Entry {
    service: Arc<str>,
    address: Arc<str>,
    zone: Arc<str>,
    state: String,
    #[serde(default)]
    capacity: Room,
    #[serde(default)]
    labels: Vec<Arc<str>>,
    #[serde(default)]
    machine: Arc<str>,
    #[serde(default)]
    born: u64,
}

/// Reads the entry of a worker. `None` when another writer left something else there.
///
/// ```
/// let text = br#"{"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready"}"#;
/// let offer = coriandernotch::platform::api::decode_offer("i-1", text).unwrap();
/// assert_eq!(&*offer.id, "i-1");
/// assert!(coriandernotch::platform::api::decode_offer("i-1", b"{}").is_none());
/// ```
pub fn decode_offer(id: &str, content: &[u8]) -> Option<Offer> {
    let entry: Entry = serde_json::from_slice(content).ok()?;
    let draining = match entry.state.as_str() {
        "ready" => false,
        "draining" => true,
        _ => return None,
    };
    entry.address.parse::<std::net::SocketAddr>().ok()?;
    Some(Offer {
        id: id.into(),
        born_ms: entry.born,
        service: entry.service,
        address: entry.address,
        data_centre: entry.zone,
        machine: entry.machine,
        draining,
        capacity: entry.capacity.into(),
        labels: entry.labels,
    })
}
