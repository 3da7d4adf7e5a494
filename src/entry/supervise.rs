use std::time::Duration;

/// Delay before a task that has panicked is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Runs a task until it ends, and starts it again each time it panics: one unexpected input must not
/// leave a process without it.
///
/// ```
/// use std::sync::atomic::{AtomicU32, Ordering};
/// use std::sync::Arc;
/// use coriandernotch::entry::supervise;
///
/// # #[tokio::main(flavor = "current_thread", start_paused = true)]
/// # async fn main() {
/// let starts = Arc::new(AtomicU32::new(0));
/// let counter = starts.clone();
/// supervise("example", move || {
///     let counter = counter.clone();
///     async move { assert_ne!(counter.fetch_add(1, Ordering::Relaxed), 0) }
/// })
/// .await;
/// assert_eq!(starts.load(Ordering::Relaxed), 2);
/// # }
/// ```
pub async fn supervise<F>(name: &'static str, start: impl Fn() -> F)
where
    F: Future<Output = ()> + Send + 'static,
{
    loop {
        let Err(error) = tokio::spawn(start()).await else {
            return;
        };
        log::error!(event = "task-panicked", task = name, error:% = error; "");
        if error.is_cancelled() {
            return;
        }
        tokio::time::sleep(RESTART_DELAY).await;
    }
}
