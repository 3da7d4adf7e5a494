use strum::IntoStaticStr;

/// Why no task is started on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(super) enum Exclusion {
    /// The store no longer lists it.
    Delisted,
    Draining,
    /// Its machine is due for maintenance.
    Cordoned,
    /// It did not answer the last call.
    Unreachable,
    /// It has not answered this leader yet.
    Unanswered,
    /// Starts on it failed recently.
    Shunned,
    /// Operators have taken its data centre out of service.
    DataCentreOut,
    /// Its machine is about to move to another pool.
    Relocating,
    /// The stored list of silent workers contains it.
    ReportedSilent,
    /// It is not stored as a member yet.
    NotMember,
    /// Its process first answered when another instance may have led.
    MayHaveSuccessor,
    /// It lacks the label that the step requires.
    Label,
    /// It has too little free capacity.
    Full,
    /// It runs as many tasks of the step as it may.
    WorkerLimit,
    /// It has no valid ticket for the step.
    NoTicket,
}
