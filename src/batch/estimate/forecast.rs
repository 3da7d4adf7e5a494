use std::time::Duration;

/// How long a task is expected to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Forecast {
    /// Expected run time.
    pub expected: Duration,
    /// Time within which nearly all undisturbed runs end; not less than `expected`.
    pub tail: Duration,
}

impl Forecast {
    /// Returns the forecast for a task of which only the declared run time is known.
    ///
    /// ```
    /// use std::time::Duration;
    /// use coriandernotch::batch::estimate::Forecast;
    ///
    /// let forecast = Forecast::declared(Duration::from_secs(2));
    /// assert_eq!(forecast.expected, forecast.tail);
    /// ```
    pub fn declared(declared: Duration) -> Self {
        Self {
            expected: declared,
            tail: declared,
        }
    }
}
