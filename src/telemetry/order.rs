use std::time::Duration;

use metrics::{counter, gauge, histogram};

/// An order that waits for its answer, counted for as long as this exists.
pub struct OrderInFlight(());

impl OrderInFlight {
    /// Counts one more order that waits for its answer.
    ///
    /// ```
    /// use coriandernotch::telemetry::{self, OrderInFlight};
    ///
    /// telemetry::install();
    /// let order = OrderInFlight::begin();
    /// assert!(telemetry::render().contains("orders_in_flight 1"));
    /// drop(order);
    /// assert!(telemetry::render().contains("orders_in_flight 0"));
    /// ```
    #[must_use]
    pub fn begin() -> Self {
        gauge!("orders_in_flight").increment(1.0);
        Self(())
    }
}

impl Drop for OrderInFlight {
    fn drop(&mut self) {
        gauge!("orders_in_flight").decrement(1.0);
    }
}

/// Records the time from the decision about a start to the answer of the worker.
///
/// ```
/// use std::time::Duration;
/// use coriandernotch::telemetry;
///
/// telemetry::install();
/// telemetry::record_start_time(Duration::from_millis(7));
/// assert!(telemetry::render().contains("start_order_seconds_count 1"));
/// ```
pub fn record_start_time(time: Duration) {
    histogram!("start_order_seconds").record(time);
}

/// Counts an order to a worker by its kind and outcome.
///
/// ```
/// use coriandernotch::telemetry;
///
/// telemetry::install();
/// telemetry::count_order("start", "started");
/// let text = telemetry::render();
/// assert!(text.contains(r#"orders_total{kind="start",outcome="started"} 1"#));
/// ```
pub fn count_order(kind: &'static str, outcome: &'static str) {
    counter!("orders_total", "kind" => kind, "outcome" => outcome).increment(1);
}
