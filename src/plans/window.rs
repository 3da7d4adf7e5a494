use crate::fleet;

const HOUR: u64 = 3600;
const DAY: u64 = 24 * HOUR;

/// Hours of the day, in UTC, in which planned work may run. Times are seconds since 1970.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Window {
    start: u64,
    length: u64,
}

impl Window {
    /// Takes the window of a plan.
    pub fn of(plan: &fleet::Plan) -> Self {
        Self::new(plan.window_start_hour, plan.window_hours)
    }

    /// Makes a window that opens at an hour and stays open for some hours, at most a day.
    ///
    /// ```
    /// use coriandernotch::plans::Window;
    ///
    /// let night = Window::new(22, 4);
    /// assert_eq!(night.left(23 * 3600), 3 * 3600);
    /// assert_eq!(night.left(25 * 3600), 3600);
    /// assert_eq!(night.opens(3 * 3600), 22 * 3600);
    /// ```
    pub fn new(start_hour: u32, hours: u32) -> Self {
        Self {
            start: u64::from(start_hour) * HOUR,
            length: u64::from(hours) * HOUR,
        }
    }

    /// Returns the seconds for which it stays open each day.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Returns the seconds until the window closes: 0 while it is closed, `u64::MAX` when it
    /// never closes.
    pub fn left(&self, unix: u64) -> u64 {
        if self.length >= DAY {
            return u64::MAX;
        }
        self.length.saturating_sub(self.since_opening(unix))
    }

    /// Returns when the window opens next, or `unix` while it is open.
    pub fn opens(&self, unix: u64) -> u64 {
        match self.left(unix) {
            0 => unix + DAY - self.since_opening(unix),
            _ => unix,
        }
    }

    /// Returns when `work` seconds of open window have passed since `unix`.
    ///
    /// ```
    /// use coriandernotch::plans::Window;
    ///
    /// assert_eq!(Window::new(0, 1).after(0, 5400), 24 * 3600 + 1800);
    /// ```
    pub fn after(&self, unix: u64, work: u64) -> u64 {
        let (mut unix, mut work) = (self.opens(unix), work);
        loop {
            let left = self.left(unix);
            if work <= left {
                return unix + work;
            }
            work -= left;
            unix = self.opens(unix + left);
        }
    }

    fn since_opening(&self, unix: u64) -> u64 {
        (unix % DAY + DAY - self.start) % DAY
    }
}
