use std::time::Duration;

use coriandernotch::batch::admission::{Arrival, Gate, Outlook, QueueForecast, Verdict};
use coriandernotch::clock::Instant;

/// Fencing token of the leader that made the outlook.
pub(crate) const TOKEN: u64 = 7;

/// Time on the clock of the store when the outlook was made.
pub(crate) const MADE_MS: u64 = 50_000;

/// Second in which the job arrives.
pub(crate) const SECOND: u64 = 1_700_000_000;

pub(crate) fn now() -> Instant {
    Instant::from_start(Duration::from_secs(100))
}

/// Returns the work of one processor in a time.
pub(crate) fn work(seconds: u64) -> u64 {
    seconds * 1_000 * 1_000
}

/// A queue on one processor with a backlog of 30 s, of which 10 s go before a new job that is to meet
/// its objective; smaller jobs than one of 1 s take the place of others.
pub(crate) fn forecast() -> QueueForecast {
    QueueForecast {
        queue: "q".into(),
        processors: 1_000,
        within_objective: work(10),
        largest_kept: Some(work(1)),
        total: work(30),
        ..QueueForecast::default()
    }
}

pub(crate) fn outlook(forecast: QueueForecast) -> Outlook {
    Outlook {
        token: TOKEN,
        made_ms: MADE_MS,
        queues: vec![forecast],
        over_rate: Vec::new(),
    }
}

/// A job of 2 s that is of no use after 9 s.
pub(crate) fn arrival() -> Arrival {
    Arrival {
        workspace: "w".into(),
        second: SECOND,
        waited: Duration::ZERO,
        objective: Duration::from_secs(3),
        critical_path: Duration::from_secs(2),
        work: work(2),
        lasting: false,
        scheduled: false,
    }
}

/// Decides about a job by an outlook that was just made and received.
pub(crate) fn decide(arrival: &Arrival, outlook: Outlook) -> Verdict {
    let mut gate = Gate::default();
    gate.receive(outlook, now());
    gate.decide(arrival, "q", Some(TOKEN), Some(MADE_MS), now())
}
