use super::{FRESHNESS, PAUSE_LIMIT, State};
use crate::clock::Instant;

impl State {
    /// Returns the time until which [`State::is_fresh`] holds if no further evidence arrives.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::config::{FRESHNESS, State};
    ///
    /// let now = Instant::default();
    /// let state = State::example("a", &["a", "b"], now);
    /// assert_eq!(state.fresh_until(), Some(now + FRESHNESS));
    /// ```
    pub fn fresh_until(&self) -> Option<Instant> {
        self.in_force.as_ref()?;
        let by_head_read = self.freshness.head_read().map(|at| at + FRESHNESS);
        let by_majority = self
            .majority_affirmed_at
            .map(|at| (at + FRESHNESS).min(self.last_active + PAUSE_LIMIT));
        by_head_read.max(by_majority)
    }

    /// Returns the start of the last head read that showed the head in force.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::config::State;
    ///
    /// let now = Instant::default();
    /// assert_eq!(State::example("a", &["a"], now).head_read(), Some(now));
    /// ```
    pub fn head_read(&self) -> Option<Instant> {
        self.freshness.head_read()
    }
}
