/// The rules that always hold.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumIter, strum::EnumCount,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Rule {
    /// Every pool's availability budget holds.
    Budget,
    /// An instance belongs to exactly one pool.
    OnePool,
    /// Work is taken only for the workspace whose key came with it, and a withdrawn key stops working.
    Key,
    /// No workspace has more running than its upper limit.
    Limit,
    /// Nothing starts in a data centre that operators took out.
    DataCentre,
    /// Each caller gets the whole answer to its own request.
    Answer,
    /// A refusal that says not run is true.
    NotRun,
    /// A non-idempotent request runs at most once.
    AtMostOnce,
    /// A leaving target gets no new work.
    Leaving,
    /// A planned stop cuts no request.
    Graceful,
    /// An accepted configuration is in force everywhere within seconds and never reverts.
    Config,
}
