use std::time::Duration;

use metrics::{counter, histogram};

/// Counts a job that ended: its state, and its time from arrival by queue and by workspace.
///
/// ```
/// use std::time::Duration;
/// use coriandernotch::telemetry;
///
/// telemetry::install();
/// telemetry::count_job("quotes", "kitchen", "completed", Duration::from_secs(2), true);
/// let text = telemetry::render();
/// assert!(text.contains(r#"jobs_ended_total{queue="quotes",state="completed",in_time="true"} 1"#));
/// ```
pub fn count_job(queue: &str, workspace: &str, state: &str, took: Duration, in_time: bool) {
    let (queue, workspace) = (queue.to_owned(), workspace.to_owned());
    let labels = [
        ("queue", queue.clone()),
        ("state", state.to_owned()),
        ("in_time", in_time.to_string()),
    ];
    counter!("jobs_ended_total", &labels).increment(1);
    histogram!("queue_job_seconds", "queue" => queue).record(took);
    histogram!("workspace_job_seconds", "workspace" => workspace).record(took);
}
