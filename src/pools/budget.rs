use super::{Cover, Pool, Tally};

/// Availability budget of a pool, applied to a count of its instances.
///
/// Instances that the pool lacks count as unavailable, except in the spare pool, which exists to
/// lend them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    size: u32,
    limit: u32,
    rack: bool,
    spare: bool,
}

impl Budget {
    /// Takes the budget of a pool.
    pub fn of(pool: &Pool) -> Self {
        Self {
            size: pool.size,
            limit: pool.budget.unavailable,
            rack: pool.budget.rack > 0,
            spare: pool.spare,
        }
    }

    /// Most instances that may be unavailable.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Counts what is unavailable now, planned or not, whoever caused it.
    ///
    /// An instance that arrives is missing until it serves, but takes nothing from the pool. If it
    /// counted as out, no replacement could reach a pool whose failures exceed its budget.
    pub fn count(&self, tally: &Tally) -> u32 {
        let missing = match self.spare {
            true => 0,
            false => self.size.saturating_sub(tally.members - tally.arriving),
        };
        tally.out - tally.arriving + missing
    }

    /// Counts what would be missing beyond the budget after the next failure.
    ///
    /// A rack counts when the budget asks for it. A data centre counts when the budget is large
    /// enough for one with nothing else out; a pool with a smaller budget is not meant to survive
    /// that loss, and would otherwise never be maintained.
    pub fn cover(&self, tally: &Tally) -> Cover {
        let after = |lost: u32| {
            let missing = self.size.saturating_sub(tally.serving.saturating_sub(lost));
            missing.saturating_sub(self.limit)
        };
        if self.spare {
            return Cover::default();
        }
        let survives = tally.largest_data_centre <= self.limit;
        Cover {
            rack: if self.rack {
                after(tally.worst_rack)
            } else {
                0
            },
            data_centre: if survives {
                after(tally.worst_data_centre)
            } else {
                0
            },
        }
    }
}
