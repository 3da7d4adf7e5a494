use coriandernotch::config::*;

/// A commit attempt and how far it got.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Attempt {
    pub(super) commit: Commit,
    pub(super) committer: Voter,
    pub(super) aborted: bool,
    pub(super) write_sent: bool,
    pub(super) accepted: bool,
}
