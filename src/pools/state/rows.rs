use super::State;
use crate::pools::{Assignment, Instance, Operation, Pool, Purpose, StoredPurpose, Summary, Tally};

/// Rows to be stored.
impl State {
    /// Returns the row of an instance.
    pub(in crate::pools) fn assignment(
        &self,
        instance: &Instance,
        operation: Operation,
    ) -> Assignment {
        Assignment {
            pool: self.pool_name(instance.pool),
            token: self.token(),
            operation,
            phase: instance.phase,
            errand: instance.purpose.map(|purpose| match purpose {
                Purpose::Move(to) => StoredPurpose::Move(self.pool_name(to)),
                Purpose::Reboot => StoredPurpose::Reboot,
            }),
            data_centre: self.data_centre_names[&instance.data_centre].clone(),
            rack: self.rack_names[instance.rack.index()].clone(),
            incarnation: instance.incarnation,
            maintained: instance.maintained,
        }
    }

    /// Returns the row of a pool with the counts of `tally`.
    pub(in crate::pools) fn ledger(
        &self,
        pool: &Pool,
        tally: &Tally,
        operation: Operation,
    ) -> Summary {
        let shortfalls = pool.shortfalls.iter();
        Summary {
            token: self.token(),
            operation,
            members: tally.members,
            out: tally.not_serving,
            cover: shortfalls
                .map(|(id, shortfall)| (self.pool_name(*id), *shortfall))
                .collect(),
        }
    }
}
