use super::Source;
use crate::fleet::TeamId;

/// Right of a team to one running unit, valid in the ledger that issued it.
///
/// It is a plain key: whoever takes one must give it back exactly once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Permit {
    /// Team for which the unit runs.
    pub team: TeamId,
    /// Where the permit came from.
    pub source: Source,
}
