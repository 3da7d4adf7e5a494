use std::time::Duration;

use coriandernotch::clock;
use coriandernotch::intake::{Cause, LogThrottle, Port};

/// Guards against a crowd that reconnects at once and fills the log with a line for each connection
/// that is closed, and against a kind of refusal that another one keeps out of the log.
#[test]
fn each_kind_of_refusal_has_one_line_a_second() {
    let start = clock::now();
    let mut throttle = LogThrottle::default();
    let mut lines = Vec::new();
    for ms in 0..2_500 {
        let now = start + Duration::from_millis(ms);
        lines.extend(throttle.note(Port::Callers, Cause::Memory, now));
    }
    assert_eq!(lines, [0, 999, 999]);
    let now = start + Duration::from_millis(2_500);
    assert_eq!(throttle.note(Port::Callers, Cause::SlowHead, now), Some(0));
    assert_eq!(throttle.note(Port::Readiness, Cause::Memory, now), Some(0));
}
