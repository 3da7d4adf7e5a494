use log::Level;

use crate::clock::Instant;
use crate::collections::Map;

/// Lines of one event in a second when it tells of a problem: the first ones say enough.
const PROBLEMS_PER_SECOND: u32 = 10;

/// Lines of one event in a second otherwise: one for each request of a busy instance.
const LINES_PER_SECOND: u32 = 300;

/// Bounds how many log lines each event writes.
///
/// ```
/// use log::Level;
/// use coriandernotch::{clock::Instant, telemetry::Limit};
///
/// let mut limit = Limit::default();
/// assert_eq!(limit.admit("store-lost", Level::Warn, Instant::default()), Some(0));
/// ```
#[derive(Debug, Default)]
pub struct Limit(Map<Box<str>, Window>);

#[derive(Debug, Default)]
struct Window {
    second: u64,
    written: u32,
    suppressed: u64,
}

impl Limit {
    /// Returns how many lines of the event were left out before this one, or `None` when this one
    /// is left out too.
    pub fn admit(&mut self, event: &str, level: Level, now: Instant) -> Option<u64> {
        let most = if level <= Level::Warn {
            PROBLEMS_PER_SECOND
        } else {
            LINES_PER_SECOND
        };
        if !self.0.contains_key(event) {
            self.0.insert(event.into(), Window::default());
        }
        let window = self.0.get_mut(event)?;
        let second = now.as_nanos() / 1_000_000_000;
        if window.second != second {
            (window.second, window.written) = (second, 0);
        }
        if window.written >= most {
            window.suppressed += 1;
            return None;
        }
        window.written += 1;
        Some(std::mem::take(&mut window.suppressed))
    }
}
