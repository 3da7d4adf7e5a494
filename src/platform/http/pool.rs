use std::sync::Mutex;

use tokio::time::Instant;

use super::connection::Connection;

/// Maximum number of idle connections in a pool.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// Pool of idle connections to one service.
#[derive(Default)]
pub(in crate::platform) struct Pool {
    idle: Mutex<Vec<Idle>>,
}

/// Idle connection, with the time of its last response.
struct Idle {
    connection: Connection,
    answered: Instant,
}

impl Pool {
    /// Returns the most recently used connection that is still open and drops closed ones.
    pub(in crate::platform) async fn take(&self) -> Option<Connection> {
        while let Some(mut connection) = self.pop() {
            if connection.is_usable().await {
                return Some(connection);
            }
        }
        None
    }

    fn pop(&self) -> Option<Connection> {
        let idle = self.idle.lock().expect("idle connections lock").pop();
        idle.map(|idle| idle.connection)
    }

    /// Returns a connection to the pool after its last response was read completely; drops it if
    /// the pool is full.
    pub(in crate::platform) fn keep(&self, connection: Connection) {
        let mut idle = self.idle.lock().expect("idle connections lock");
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(Idle {
                connection,
                answered: Instant::now(),
            });
        }
    }

    /// Drops the connections without a response since `sent`, after a request sent then got none.
    /// The network may have cut them off without a reset, and each would cost a call its timeout.
    pub(in crate::platform) fn drop_unanswered_since(&self, sent: Instant) {
        let mut idle = self.idle.lock().expect("idle connections lock");
        idle.retain(|idle| idle.answered >= sent);
    }
}
