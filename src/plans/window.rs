use crate::fleet;

const HOUR_SECONDS: u64 = 3600;
const DAY_SECONDS: u64 = 24 * HOUR_SECONDS;

/// Daily maintenance window, in UTC. Times are in seconds since 1970.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Window {
    start_seconds: u64,
    length_seconds: u64,
}

impl Window {
    /// Returns the window of a plan of the document.
    pub fn of(plan: &fleet::Plan) -> Self {
        Self::new(plan.window_start_hour, plan.window_hours)
    }

    /// Creates a window that opens daily at `start_hour` and stays open for `hours`, at most 24.
    ///
    /// ```
    /// use coriandernotch::plans::Window;
    ///
    /// let night = Window::new(22, 4);
    /// assert_eq!(night.remaining(23 * 3600), 3 * 3600);
    /// assert_eq!(night.remaining(25 * 3600), 3600);
    /// assert_eq!(night.next_opening(3 * 3600), 22 * 3600);
    /// ```
    pub fn new(start_hour: u32, hours: u32) -> Self {
        Self {
            start_seconds: u64::from(start_hour) * HOUR_SECONDS,
            length_seconds: u64::from(hours) * HOUR_SECONDS,
        }
    }

    /// Returns the seconds for which the window is open each day.
    pub fn length_seconds(&self) -> u64 {
        self.length_seconds
    }

    /// Returns the seconds until the window closes: 0 while it is closed, `u64::MAX` if it never
    /// closes.
    pub fn remaining(&self, unix_time: u64) -> u64 {
        if self.length_seconds >= DAY_SECONDS {
            return u64::MAX;
        }
        self.length_seconds
            .saturating_sub(self.seconds_since_opening(unix_time))
    }

    /// Returns when the window opens next, or `unix_time` while it is open.
    pub fn next_opening(&self, unix_time: u64) -> u64 {
        match self.remaining(unix_time) {
            0 => unix_time + DAY_SECONDS - self.seconds_since_opening(unix_time),
            _ => unix_time,
        }
    }

    /// Returns when the window has been open for `work_seconds` since `unix_time`.
    ///
    /// ```
    /// use coriandernotch::plans::Window;
    ///
    /// assert_eq!(Window::new(0, 1).end_of_work(0, 5400), 24 * 3600 + 1800);
    /// ```
    pub fn end_of_work(&self, unix_time: u64, work_seconds: u64) -> u64 {
        let (mut time, mut work_seconds) = (self.next_opening(unix_time), work_seconds);
        loop {
            let remaining = self.remaining(time);
            if work_seconds <= remaining {
                return time + work_seconds;
            }
            work_seconds -= remaining;
            time = self.next_opening(time + remaining);
        }
    }

    fn seconds_since_opening(&self, unix_time: u64) -> u64 {
        (unix_time % DAY_SECONDS + DAY_SECONDS - self.start_seconds) % DAY_SECONDS
    }
}
