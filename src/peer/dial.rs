use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;

use super::session::session;
use super::{Backoff, Hub, Member};

/// Time for a connection to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Keeps a connection to one peer until `member` becomes `None` or the hub stops.
///
/// `member` changes when the peer starts again, perhaps at another address.
pub async fn dial(hub: Arc<Hub>, mut member: watch::Receiver<Option<Member>>) {
    let mut stop = hub.stopped();
    let mut backoff = Backoff::new(hub.control().own().incarnation.wrapping_mul(0x9e37_79b9));
    loop {
        let Some(peer) = member.borrow_and_update().clone() else {
            return;
        };
        let connection = async {
            let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(peer.peers)).await??;
            backoff.reset();
            session(&hub, stream, Some(&peer.name)).await
        };
        let result = tokio::select! {
            result = connection => result,
            _ = stop.changed() => return,
        };
        if let Err(error) = result {
            log::debug!(event = "peer-lost", step = "dial", peer:% = peer.peers, error:% = error; "");
        }
        tokio::select! {
            () = tokio::time::sleep(backoff.next()) => {}
            _ = member.changed() => {}
            _ = stop.changed() => return,
        }
    }
}
