use crate::fleet::PoolId;

/// Why a step may not be taken now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The pool would have more instances unavailable than its budget allows.
    #[error("pool={pool:?} unavailable={count} budget={limit}")]
    Budget {
        /// Pool whose budget would be exceeded.
        pool: PoolId,
        /// Instances that would be unavailable.
        count: u32,
        /// Largest number of unavailable instances that the budget allows.
        limit: u32,
    },
    /// Too few spare instances for the loss of one more rack.
    #[error("pool={pool:?} spare={have} needed-after-rack-loss={need}")]
    Rack {
        /// Pool of the instance that the refused step would drain.
        pool: PoolId,
        /// Spare instances that would be needed.
        need: u32,
        /// Spare instances outside the rack.
        have: u32,
    },
    /// Too few spare instances for the loss of one more data centre.
    #[error("pool={pool:?} spare={have} needed-after-data-centre-loss={need}")]
    DataCentre {
        /// Pool of the instance that the refused step would drain.
        pool: PoolId,
        /// Spare instances that would be needed.
        need: u32,
        /// Spare instances outside the data centre.
        have: u32,
    },
    /// The instance is in a phase that does not allow the step.
    #[error("step does not fit the phase of the instance")]
    Phase,
    /// The pool does not exist in this version of the fleet.
    #[error("pool does not exist")]
    Pool,
    /// A manager with a newer fencing token has taken over.
    #[error("superseded by token={token}")]
    Superseded {
        /// The newer token.
        token: u64,
    },
}
