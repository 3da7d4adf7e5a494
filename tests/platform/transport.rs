//! Both clients of the platform services.

use std::sync::Arc;

use coriandernotch::platform::{Condition, Error, Platform, Write, http::Client};
use coriandernotch::standin::{Store, platform};
use tokio::net::TcpListener;

/// How a client reaches the platform services.
#[derive(Clone, Copy, Debug)]
pub(super) enum Transport {
    InProcess,
    Http,
}

pub(super) const TRANSPORTS: [Transport; 2] = [Transport::InProcess, Transport::Http];

pub(super) async fn connect(via: Transport, store: &Arc<Store>, name: &str) -> Platform {
    match via {
        Transport::InProcess => store.platform(name),
        Transport::Http => {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let client = Arc::new(Client::new(listener.local_addr().unwrap()));
            tokio::spawn(platform::serve(listener, store.client(name)));
            Platform {
                table: client.clone(),
                objects: client.clone(),
                listing: client.clone(),
                machines: client,
            }
        }
    }
}

pub(super) fn error_kind(error: &Error) -> &'static str {
    match error {
        Error::Unavailable { .. } => "unavailable",
        Error::Unknown { .. } => "unknown",
        Error::Conflict { .. } => "conflict",
    }
}

pub(super) fn put(key: &str, condition: Condition) -> Write {
    Write::put(key, condition, "v")
}
