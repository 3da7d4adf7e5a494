use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;

use super::registration::Resources;
use crate::batch::{Advice, Config, Route, Wave, Workspace};
use crate::clock::Instant;
use crate::collections::Map;

/// Limits of the numbers of a configuration, so that products with the times of any job fit into a
/// duration.
const MAX_STRETCH: f64 = 1e4;
const MAX_TIME: Duration = Duration::from_millis(1 << 40);

/// State that operators request.
#[derive(Clone, Debug, PartialEq)]
pub enum Intent {
    /// Newest configuration, which replaces the previous one.
    Config(Box<Config>),
    /// Data centre that must receive no new work.
    Out(Arc<str>),
    /// Wave of machines that are due for maintenance.
    Wave(Wave),
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct WireConfig {
    version: u64,
    routes: Vec<WireRoute>,
    services: Vec<WireService>,
    tenants: Vec<WireTenant>,
    limits: WireLimits,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct WireRoute {
    name: Arc<str>,
    host: Arc<str>,
    prefix: Arc<str>,
    service: Arc<str>,
    priority: u32,
    max_attempts: u32,
    stretch: f64,
    /// Time added to the critical path multiplied by `stretch`; not the whole objective.
    target_duration_ms: u64,
    public: bool,
    advice: Option<WireAdvice>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct WireAdvice {
    decide_ms: u64,
    each_ms: u64,
    valid_ms: u64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct WireService {
    name: Arc<str>,
    standby: bool,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct WireTenant {
    name: Arc<str>,
    api_keys: Vec<Arc<str>>,
    weight: f64,
    maximum: Resources,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct WireLimits {
    max_body_bytes: usize,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireWave {
    wave: u64,
    machines: Vec<Arc<str>>,
    #[serde(default)]
    maximum: usize,
    /// Seconds from the time at which the wave was requested.
    #[serde(default)]
    complete_by_s: f64,
}

/// Decodes a row that operators wrote. Returns `None` if the key is unknown or the content is
/// invalid.
///
/// ```
/// use coriandernotch::platform::api::{Intent, decode_intent};
///
/// assert_eq!(decode_intent("evacuate/a", b"{}"), Some(Intent::Out("a".into())));
/// assert_eq!(decode_intent("config", b"no JSON"), None);
/// ```
pub fn decode_intent(key: &str, content: &[u8]) -> Option<Intent> {
    // Rejects arrays, which serde would otherwise decode into a struct by the order of its fields.
    if !content.trim_ascii_start().starts_with(b"{") {
        return None;
    }
    if key == "config" {
        let config = serde_json::from_slice::<WireConfig>(content).ok()?;
        return Some(Intent::Config(Box::new(config.into())));
    }
    if let Some(data_centre) = key.strip_prefix("evacuate/") {
        return Some(Intent::Out(data_centre.into()));
    }
    key.strip_prefix("wave/")?;
    let wave = serde_json::from_slice::<WireWave>(content).ok()?;
    Some(Intent::Wave(Wave {
        number: wave.wave,
        machines: wave.machines,
        maximum: wave.maximum,
        within: Duration::from_secs_f64(wave.complete_by_s.clamp(0.0, 1e9)),
        due: Instant::default(),
    }))
}

impl From<WireConfig> for Config {
    fn from(wire: WireConfig) -> Self {
        let mut keys = Map::default();
        let mut workspaces = Map::default();
        for tenant in wire.tenants {
            for key in tenant.api_keys {
                keys.insert(key, tenant.name.clone());
            }
            let workspace = Workspace {
                name: tenant.name.clone(),
                weight: tenant.weight.max(0.0) as u64,
                maximum: tenant.maximum.into(),
            };
            workspaces.insert(tenant.name, workspace);
        }
        let standby = wire.services.into_iter().filter(|s| s.standby);
        Self {
            version: wire.version,
            routes: wire.routes.into_iter().map(Route::from).collect(),
            workspaces,
            keys,
            spare_services: standby.map(|service| service.name).collect(),
            max_body: wire.limits.max_body_bytes,
        }
    }
}

impl From<WireRoute> for Route {
    fn from(wire: WireRoute) -> Self {
        let millis = |number| Duration::from_millis(number).min(MAX_TIME);
        let advice = wire.advice.map(|advice| Advice {
            decide: millis(advice.decide_ms),
            each: millis(advice.each_ms),
            valid: millis(advice.valid_ms),
        });
        Self {
            name: wire.name,
            host: wire.host,
            prefix: wire.prefix,
            service: wire.service,
            priority: wire.priority,
            max_attempts: wire.max_attempts,
            stretch: wire.stretch.min(MAX_STRETCH),
            allowance: millis(wire.target_duration_ms),
            open: wire.public,
            advice,
        }
    }
}
