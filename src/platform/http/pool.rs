use std::sync::Mutex;

use super::connection::Connection;

/// Maximum number of idle connections in a pool.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// Pool of idle connections to one service.
#[derive(Default)]
pub(in crate::platform) struct Pool {
    idle: Mutex<Vec<Connection>>,
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
        self.idle.lock().expect("idle connections lock").pop()
    }

    /// Returns a connection to the pool after its last response was read completely; drops it if
    /// the pool is full.
    pub(in crate::platform) fn keep(&self, connection: Connection) {
        let mut idle = self.idle.lock().expect("idle connections lock");
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
    }
}
