/// Distance of the workspaces from their shares, in percent of the share.
#[derive(Clone, Copy, Debug)]
pub(super) struct Deviation {
    /// Worst workspace below its share.
    pub(super) below: f64,
    /// Worst workspace above its share.
    pub(super) above: f64,
    /// Mean over workspaces and minutes, both ways.
    pub(super) mean: f64,
}
