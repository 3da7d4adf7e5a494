use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;

use serde::Deserialize;

use super::Defect;
use crate::batch::Profile;
use crate::jobs::Size;

/// Longest name in a registration, in bytes; the store has the same limit for keys. A leader stores
/// the names of all workers with its renewals, and the store takes only rows of limited size.
const MAX_NAME_BYTES: usize = 200;

/// Largest number of labels of a worker.
const MAX_LABELS: usize = 100;

/// Largest amount of a resource. The sum over a million workers fits into 64 bits.
const MAX_AMOUNT: u64 = 1 << 40;

/// Latest start time of a worker in milliseconds since 1970, the end of the year 9999.
const MAX_BORN_MS: u64 = 253_402_300_799_999;

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

/// Decodes the registration of a worker.
///
/// # Errors
///
/// Another writer may have left other content in the row; the [`Defect`] says what is wrong.
///
/// ```
/// use coriandernotch::platform::api::{Defect, decode_registration};
///
/// let text = br#"{"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready"}"#;
/// assert_eq!(&*decode_registration("i-1", text).unwrap().id, "i-1");
/// assert_eq!(decode_registration("i-1", b"[]"), Err(Defect::NotObject));
/// ```
pub fn decode_registration(id: &str, content: &[u8]) -> Result<Profile, Defect> {
    // Each request to a worker carries its id. A new leader would wait for an answer until the leases
    // of the previous leader have expired.
    if id.chars().any(char::is_control) {
        return Err(Defect::Key);
    }
    // Rejects arrays, which serde would otherwise decode into a struct by the order of its fields.
    if !content.trim_ascii_start().starts_with(b"{") {
        return Err(Defect::NotObject);
    }
    let registration: Registration =
        serde_json::from_slice(content).map_err(|error| Defect::Unreadable {
            line: error.line(),
            column: error.column(),
        })?;
    registration.check_names()?;
    registration.check_numbers()?;
    let draining = match registration.state.as_str() {
        "ready" => false,
        "draining" => true,
        _ => return Err(Defect::State),
    };
    let address = registration.address.parse::<SocketAddr>();
    if !address.is_ok_and(is_address_of_host) {
        return Err(Defect::Address);
    }
    Ok(Profile {
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

fn is_address_of_host(address: SocketAddr) -> bool {
    let ip = address.ip();
    address.port() > 0
        && !ip.is_unspecified()
        && !ip.is_multicast()
        && ip != IpAddr::V4(Ipv4Addr::BROADCAST)
}

impl Registration {
    fn check_names(&self) -> Result<(), Defect> {
        let names = [
            ("service", &self.service),
            ("zone", &self.zone),
            ("machine", &self.machine),
        ];
        let labels = self.labels.iter().map(|label| ("labels", label));
        let mut names = names.into_iter().chain(labels);
        if let Some((field, _)) = names.find(|(_, name)| name.len() > MAX_NAME_BYTES) {
            return Err(Defect::TooLong { field });
        }
        if self.labels.len() > MAX_LABELS {
            return Err(Defect::TooLong { field: "labels" });
        }
        Ok(())
    }

    fn check_numbers(&self) -> Result<(), Defect> {
        let Resources { cpu, mem_mb, gpu } = self.capacity;
        if [cpu, mem_mb, gpu].iter().any(|amount| *amount > MAX_AMOUNT) {
            return Err(Defect::TooLarge { field: "capacity" });
        }
        if self.born > MAX_BORN_MS {
            return Err(Defect::TooLarge { field: "born" });
        }
        Ok(())
    }
}
