/// Distance of the teams from their shares, in percent of the share.
#[derive(Clone, Copy, Debug)]
pub(super) struct Deviation {
    /// Worst team below its share.
    pub(super) below: f64,
    /// Worst team above its share.
    pub(super) above: f64,
    /// Mean over teams and minutes, both ways.
    pub(super) mean: f64,
}
