use quickcheck::{Arbitrary, Gen};

/// One event of a simulated fleet; nodes and messages are given by their index.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Step {
    /// Takes a permit for a unit that is not started yet.
    Take(usize),
    /// Starts all units of the node that have a permit, or gives the permits back.
    Start(usize),
    /// Takes permits for up to this many units and starts them.
    Run(usize, u32),
    /// Like `Run`, and asserts how many of the units start: node, units, expected starts.
    RunExpecting(usize, u32, u32),
    /// Sets the number of waiting units of the node.
    SetWaiting(usize, u32),
    /// Ends the oldest running unit of the node.
    End(usize),
    Tick(usize),
    /// Sends the report of the node to all nodes.
    Report(usize),
    Deliver(usize),
    Duplicate(usize),
    Lose(usize),
    DeliverAll,
    /// Lets every node install its next version, tick and report, and delivers all messages.
    Sync,
    /// Advances the time by this many milliseconds.
    Advance(u64),
    /// Restarts the node with the next incarnation.
    Restart(usize),
    Pause(usize),
    Resume(usize),
    /// Proposes a version: limit, voters as a bit mask over nodes, longest run in seconds.
    Propose(u32, u64, u64),
    Prepare(usize),
    Abandon(usize),
    Commit,
    /// Installs the successor of the version known to the node.
    Install(usize),
    /// Installs the newest version, possibly skipping versions.
    InstallNewest(usize),
    Retire(usize),
}

impl Step {
    /// Returns the node that the step applies to; `None` for steps of the network, the clock or the
    /// operators.
    pub(crate) fn node(&mut self) -> Option<&mut usize> {
        match self {
            Self::Take(n) | Self::Start(n) | Self::Run(n, _) | Self::RunExpecting(n, ..) => Some(n),
            Self::SetWaiting(n, _) | Self::End(n) | Self::Tick(n) | Self::Report(n) => Some(n),
            Self::Restart(n) | Self::Pause(n) | Self::Resume(n) | Self::Prepare(n) => Some(n),
            Self::Abandon(n) | Self::Install(n) | Self::InstallNewest(n) | Self::Retire(n) => {
                Some(n)
            }
            _ => None,
        }
    }
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let node = usize::arbitrary(g) % 4;
        let index = usize::arbitrary(g) % 4;
        let millis = *g
            .choose(&[1, 60, 300, 1_000, 2_600, 5_100, 14_000])
            .unwrap();
        let run = *g.choose(&[5, 10, 20]).unwrap();
        let limit = u32::arbitrary(g) % 7;
        let mask = *g.choose(&[15, 15, 15, 15, 14, 13, 11, 7, 3, 5, 0]).unwrap();
        match u8::arbitrary(g) % 128 {
            0..5 => Self::Take(node),
            5..10 => Self::Start(node),
            10..36 => Self::Run(node, limit),
            36..39 => Self::End(node),
            39 => Self::SetWaiting(node, limit),
            40..56 => Self::Tick(node),
            56..60 => Self::Report(node),
            60..68 => Self::Deliver(index),
            68..72 => Self::Duplicate(index),
            72..76 => Self::Lose(index),
            76..84 => Self::DeliverAll,
            84..92 => Self::Sync,
            92..103 => Self::Advance(millis),
            103 => Self::Restart(node),
            104 => Self::Pause(node),
            105..110 => Self::Resume(node),
            110..113 => Self::Propose(limit, mask, run),
            113..116 => Self::Prepare(node),
            116 => Self::Abandon(node),
            117..120 => Self::Commit,
            120..125 => Self::Install(node),
            125 | 126 => Self::InstallNewest(node),
            _ if index + node == 0 => Self::Retire(node),
            _ => Self::Sync,
        }
    }
}
