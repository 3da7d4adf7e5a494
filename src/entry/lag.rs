use std::sync::Arc;
use std::time::Duration;

use metrics::gauge;

use super::term::Term;
use crate::clock;

/// Time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Measures how late the timers of a leader fire, until its term ends.
pub(super) async fn measure_lag(term: Arc<Term>) {
    let mut was_behind = false;
    loop {
        let begun = clock::now();
        tokio::time::sleep(SAMPLE_INTERVAL).await;
        let now = clock::now();
        let delay = now.since(begun).saturating_sub(SAMPLE_INTERVAL);
        let (mean, is_behind) = {
            let mut lag = term.lag.lock().expect("lag lock");
            lag.record(delay, now);
            (lag.mean(), lag.is_behind(now))
        };
        gauge!("leader_lag_seconds").set(mean.as_secs_f64());
        if is_behind != was_behind {
            log::warn!(event = "leader-lag-changed", token = term.token, is_behind,
                mean_delay_ms = mean.as_millis(); "");
            was_behind = is_behind;
        }
    }
}
