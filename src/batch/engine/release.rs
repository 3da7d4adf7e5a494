use strum::IntoStaticStr;

/// Why an inherited worker that has not answered certainly has no more runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(super) enum Release {
    /// All leases that the previous leader can have granted have expired.
    LeaseExpired,
    /// A newer worker has answered on its machine, or another process at its address.
    Replaced,
    /// Its machine was moved to another pool.
    MachineMoved,
    /// Its machine is not running.
    MachineDown,
    /// Its machine does not exist any more.
    MachineGone,
}
