use std::time::Duration;

use super::{Cause, Port};
use crate::clock::Instant;
use crate::collections::Map;

/// Time between two log lines of the same port and cause. A crowd that reconnects at once is closed
/// hundreds of times a second, and a line for each takes processor time from ordinary callers.
const LINE_INTERVAL: Duration = Duration::from_secs(1);

/// Decides which closed connections get a log line, at most one a second for each port and cause.
#[derive(Debug, Default)]
pub struct LogThrottle {
    /// Time of the last line and how many connections got none since.
    last: Map<(Port, Cause), (Instant, u64)>,
}

impl LogThrottle {
    /// Notes a closed connection. Returns how many got no line since the last one, or `None` if this
    /// one gets none either.
    ///
    /// ```
    /// use coriandernotch::clock;
    /// use coriandernotch::intake::{Cause, LogThrottle, Port};
    ///
    /// let now = clock::now();
    /// let mut throttle = LogThrottle::default();
    /// assert_eq!(throttle.note(Port::Callers, Cause::Memory, now), Some(0));
    /// assert_eq!(throttle.note(Port::Callers, Cause::Memory, now), None);
    /// ```
    pub fn note(&mut self, port: Port, cause: Cause, now: Instant) -> Option<u64> {
        let Some((at, unlogged)) = self.last.get_mut(&(port, cause)) else {
            self.last.insert((port, cause), (now, 0));
            return Some(0);
        };
        if now.since(*at) < LINE_INTERVAL {
            *unlogged += 1;
            return None;
        }
        *at = now;
        Some(std::mem::take(unlogged))
    }
}
