use std::time::Duration;

/// Time within which a change must be in force everywhere.
pub(super) const BOUND: Duration = Duration::from_secs(4);
