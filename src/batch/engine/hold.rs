use strum::IntoStaticStr;

/// Why a task that is to run has no confirmed run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(super) enum Hold {
    /// Its run is being stopped, and the worker has not shown yet that it has ended.
    Stopping,
    /// The outcome of its start order is unknown.
    Uncertain,
    /// Its start order has not been answered yet.
    Starting,
    /// It failed, or its start order was refused, a short time ago.
    BackOff,
    /// Its job arrived after this leader was last certainly the only one.
    MayHaveSuccessor,
    /// It may run on a worker of the previous leader that has not answered.
    Inherited,
    /// Its workspace uses its maximum.
    WorkspaceMaximum,
    /// No worker may take it.
    NoWorker,
    /// It can be placed in the next round.
    Placeable,
}
