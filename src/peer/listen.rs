use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::Semaphore;

use super::Hub;
use super::session::session;

/// Peer connections accepted at once; the target size has 136 entry instances.
const MAX_ACCEPTED: usize = 512;

/// Accepts connections of peers until the hub stops.
pub async fn listen(hub: Arc<Hub>, listener: TcpListener) {
    let mut stop = hub.stopped();
    let slots = Arc::new(Semaphore::new(MAX_ACCEPTED));
    loop {
        let Ok(slot) = slots.clone().acquire_owned().await else {
            return;
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.changed() => return,
        };
        match accepted {
            Ok((stream, peer)) => {
                let hub = hub.clone();
                tokio::spawn(async move {
                    if let Err(error) = session(&hub, stream, None).await {
                        log::info!(event = "peer-lost", peer:% = peer, error:% = error; "");
                    }
                    drop(slot);
                });
            }
            Err(error) => {
                log::warn!(event = "accept-failed", port = "peers", error:% = error; "");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}
