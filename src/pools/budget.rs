use super::{Pool, Shortfall, Tally};

/// Availability budget of a pool, evaluated for counts of its instances.
///
/// Instances missing from the intended size count as unavailable, except in the spare pool, which
/// exists to lend its instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    size: u32,
    limit: u32,
    /// Whether the pool must survive the loss of a rack.
    survives_rack_loss: bool,
    spare: bool,
}

impl Budget {
    /// Returns the budget of a pool.
    pub fn of(pool: &Pool) -> Self {
        Self {
            size: pool.size,
            limit: pool.budget.unavailable,
            survives_rack_loss: pool.budget.rack > 0,
            spare: pool.spare,
        }
    }

    /// Returns the largest number of instances that may be unavailable.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Counts the unavailable instances, planned or not and whatever the cause.
    ///
    /// An instance that is moving in counts as missing until it serves, but not as a member out of
    /// service. Otherwise no replacement could reach a pool whose failures exceed its budget.
    pub fn count_unavailable(&self, tally: &Tally) -> u32 {
        let missing = match self.spare {
            true => 0,
            false => self.size.saturating_sub(tally.members - tally.arriving),
        };
        tally.not_serving - tally.arriving + missing
    }

    /// Counts the instances that would be missing beyond the budget after the next failure.
    ///
    /// The loss of a rack counts if the budget requires it. The loss of a data centre counts if the
    /// budget is large enough for one while every other instance is available. A pool with a
    /// smaller budget is not meant to survive that loss, and could otherwise never be maintained.
    pub fn shortfall(&self, tally: &Tally) -> Shortfall {
        let shortfall_after = |lost: u32| {
            let missing = self.size.saturating_sub(tally.serving.saturating_sub(lost));
            missing.saturating_sub(self.limit)
        };
        if self.spare {
            return Shortfall::default();
        }
        let survives_data_centre_loss = tally.max_members_in_data_centre <= self.limit;
        Shortfall {
            rack: if self.survives_rack_loss {
                shortfall_after(tally.max_serving_in_rack)
            } else {
                0
            },
            data_centre: if survives_data_centre_loss {
                shortfall_after(tally.max_serving_in_data_centre)
            } else {
                0
            },
        }
    }
}
