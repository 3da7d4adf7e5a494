use coriandernotch::limit::{Ledger, Voter};

/// One incarnation of a simulated entry instance.
#[derive(Clone, Debug)]
pub(crate) struct Node {
    pub(crate) voter: Voter,
    pub(crate) ledger: Ledger,
    pub(crate) paused: bool,
}

impl Node {
    pub(crate) fn new(index: usize, incarnation: u64) -> Self {
        let name = char::from(b'a' + index as u8).to_string();
        let voter = Voter::new(&name, incarnation);
        Self {
            ledger: Ledger::new(voter.clone()),
            voter,
            paused: false,
        }
    }
}
