use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;

use super::shared::{STORE_TIMEOUT, Shared};
use crate::platform::api::{Fault, Link, Store, decode_registration};

/// Number of workers to which connections are tried.
const SAMPLE_SIZE: usize = 3;

/// Time that a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Returns whether this instance can connect to at least one of a few workers, or there are none. A
/// leader without a connection to workers could place nothing.
pub(super) async fn reaches_workers(shared: &Shared) -> Result<bool, Fault> {
    let store = &shared.store;
    let (rows, _) = store
        .read(Store::WORKERS, "", "", "", STORE_TIMEOUT)
        .await?;
    let stride = rows.len().div_ceil(SAMPLE_SIZE).max(1);
    let sample = rows.iter().step_by(stride);
    let addresses = sample.filter_map(|row| {
        let worker = decode_registration(&row.key, row.content.as_ref()?).ok()?;
        worker.address.parse::<SocketAddr>().ok()
    });
    let links: Vec<Link> = addresses.map(Link::new).collect();
    let connects = links.iter().map(|link| link.connects(CONNECT_TIMEOUT));
    let connected = join_all(connects).await;
    Ok(connected.is_empty() || connected.contains(&true))
}
