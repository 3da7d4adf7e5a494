use quickcheck::{Arbitrary, Gen};

/// One event. A node number wraps around; an attempt number selects one of the two newest attempts,
/// 0 being the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Step {
    /// This many milliseconds pass.
    Tick(u16),
    /// The node reads the head.
    Read(u8),
    /// The node reads the head, but the reply is kept until `DeliverDelayed`.
    DelayRead(u8),
    /// The first node pulls from the second.
    Pull(u8, u8),
    /// The first node pulls from the second, but the reply is kept until `DeliverDelayed`.
    DelayPull(u8, u8),
    /// One of the delayed replies arrives.
    DeliverDelayed(u8),
    /// The node starts an attempt to change the document.
    Propose(u8),
    /// The node starts an attempt to add running voters and to remove ended ones.
    ProposeVoters(u8),
    /// The proposal of the attempt reaches the node and the reply reaches the committer.
    Prepare(u8, u8),
    /// The proposal of the attempt reaches the node, but the reply is lost.
    PrepareLost(u8, u8),
    /// The committer sends the write of the attempt if it has a quorum.
    SendWrite(u8),
    /// The write takes effect if its condition holds; this may occur late and repeatedly.
    ApplyWrite(u8),
    /// The node learns that the attempt was accepted.
    Commit(u8, u8),
    /// The attempt is aborted unless its write was sent, and the node learns of it.
    Abort(u8, u8),
    /// The node fences an overdue proposal.
    Fence(u8),
    /// The first node fetches what it lacks from the second.
    Fetch(u8, u8),
    /// The process of the node ends.
    Crash(u8),
    /// The node starts a new process if it has none.
    Restart(u8),
    /// The process of the node is paused.
    Pause(u8),
    /// The process of the node continues, with a new incarnation if its vote was lost.
    Resume(u8),
    /// The node retires and informs the peers in the bit mask.
    Retire(u8, u8),
    /// The node loses or regains access to the store.
    ToggleStore(u8),
    /// The link between two nodes fails or is restored.
    ToggleLink(u8, u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let (a, b) = (u8::arbitrary(g) % 60, u8::arbitrary(g) % 60);
        // Steps that a change needs to make progress have a greater weight.
        match u8::arbitrary(g) % 48 {
            0..=3 => Self::Tick(u16::from(a) * 30),
            4 => Self::Tick(12_000),
            5 | 6 => Self::Read(a),
            7 => Self::DelayRead(a),
            8..=11 => Self::Pull(a, b),
            12 => Self::DelayPull(a, b),
            13 | 14 => Self::DeliverDelayed(a),
            15 | 16 => Self::Propose(a),
            17 => Self::ProposeVoters(a),
            18..=27 => Self::Prepare(a, b),
            28 => Self::PrepareLost(a, b),
            29..=32 => Self::SendWrite(a),
            33..=36 => Self::ApplyWrite(a),
            37 => Self::Commit(a, b),
            38 => Self::Abort(a, b),
            39 => Self::Fence(a),
            40 => Self::Fetch(a, b),
            41 => Self::Crash(a),
            42 => Self::Restart(a),
            43 => Self::Pause(a),
            44 => Self::Resume(a),
            45 => Self::Retire(a, b),
            46 => Self::ToggleStore(a),
            _ => Self::ToggleLink(a, b),
        }
    }
}
