use std::sync::{Arc, Mutex};

use tokio::sync::Notify;

use crate::collections::Map;

/// Signs that wake the tasks of queues when their rows have news.
#[derive(Debug, Default)]
pub struct Signals {
    queues: Mutex<Map<Arc<str>, Arc<Notify>>>,
}

impl Signals {
    /// Returns the subscription of a queue, for the task of that queue.
    ///
    /// ```
    /// let signals = coriandernotch::peer::Signals::default();
    /// let subscription = signals.subscribe("free");
    /// signals.notify("free");
    /// # tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(async {
    /// subscription.notified().await;
    /// # });
    /// ```
    pub fn subscribe(&self, queue: &str) -> Arc<Notify> {
        let mut queues = self.queues.lock().expect("signals lock");
        queues.entry(queue.into()).or_default().clone()
    }

    /// Wakes the task of a queue, if this instance has one.
    pub fn notify(&self, queue: &str) {
        let queues = self.queues.lock().expect("signals lock");
        if let Some(sign) = queues.get(queue) {
            sign.notify_one();
        }
    }
}
