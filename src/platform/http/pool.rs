use std::sync::Mutex;

use super::connection::Connection;

/// Idle connections kept for reuse.
const MAX_IDLE: usize = 8;

/// Idle connections to one address.
#[derive(Default)]
pub(in crate::platform) struct Pool {
    idle: Mutex<Vec<Connection>>,
}

impl Pool {
    /// Takes the connection that was used last and drops those that were closed meanwhile.
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

    /// Keeps a connection whose last answer was read to its end.
    pub(in crate::platform) fn keep(&self, connection: Connection) {
        let mut idle = self.idle.lock().expect("idle connections lock");
        if idle.len() < MAX_IDLE {
            idle.push(connection);
        }
    }
}
