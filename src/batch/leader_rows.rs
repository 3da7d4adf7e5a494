use std::sync::Arc;

use super::{Leader, LeaderPart, MAX_LIST_BYTES, row_bytes};

/// Number of machines of a wave that stay together.
const MACHINES_PER_ENTRY: usize = 50;

/// The rows in which a [`Leader`] is stored: its own row, and parts of its lists if they are too long
/// for it.
///
/// All rows are written in one transaction, on condition that the leader row is unchanged, and each
/// part names the write. So a reader never takes parts of two writes as one list.
///
/// ```
/// use coriandernotch::batch::{Leader, LeaderRows, Occupancy};
///
/// let worker = |number| Occupancy { worker: format!("i-{number}").into(), ..Occupancy::default() };
/// let leader = Leader { token: 2, renewal: 7, busy: (0..2_300).map(worker).collect(), ..Leader::default() };
/// let rows = LeaderRows::divide(&leader);
/// assert!(!rows.parts.is_empty());
/// assert_eq!(LeaderRows::join(&rows.owner, &rows.parts), Some(leader));
/// let next = Leader { renewal: 8, ..rows.owner.clone() };
/// assert_eq!(LeaderRows::join(&next, &rows.parts), None);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaderRows {
    /// The leader row, which instances of older versions can read.
    pub owner: Leader,
    /// Parts of the lists that do not fit into it.
    pub parts: Vec<LeaderPart>,
}

/// One entry of a list.
enum Entry {
    Maintained(u64, Vec<Arc<str>>),
    QueueService(super::QueueService),
    Pending((Arc<str>, u64)),
    Busy(super::Occupancy),
    Home((Arc<str>, Arc<str>)),
}

impl LeaderRows {
    /// Divides a leader over rows. The leader row holds what instances of older versions need most;
    /// they take a worker that is not in it as one that may have any runs, if it is a member.
    ///
    /// See [`LeaderRows`] for an example.
    pub fn divide(leader: &Leader) -> Self {
        Self::divide_into(leader, MAX_LIST_BYTES)
    }

    /// Divides a leader over rows of which each has lists of up to `limit` bytes, or one entry.
    pub fn divide_into(leader: &Leader, limit: usize) -> Self {
        let mut owner = Leader {
            parts: 0,
            pending: Vec::new(),
            busy: Vec::new(),
            queue_services: Vec::new(),
            homes: Vec::new(),
            maintained: Vec::new(),
            ..leader.clone()
        };
        let mut parts: Vec<LeaderPart> = Vec::new();
        let mut bytes = 0;
        for entry in entries(leader) {
            let size = entry.bytes();
            bytes += size;
            if bytes > limit {
                bytes = size;
                parts.push(LeaderPart {
                    token: leader.token,
                    renewal: leader.renewal,
                    position: owner.parts,
                    ..LeaderPart::default()
                });
                owner.parts += 1;
            }
            match parts.last_mut() {
                Some(part) => entry.add_to_part(part),
                None => entry.add_to_owner(&mut owner),
            }
        }
        Self { owner, parts }
    }

    /// Returns the leader that was divided into a leader row and parts, in any order and among others.
    /// `None` if a part is missing.
    ///
    /// See [`LeaderRows`] for an example.
    pub fn join(owner: &Leader, parts: &[LeaderPart]) -> Option<Leader> {
        let mut leader = owner.clone();
        leader.parts = 0;
        for position in 0..owner.parts {
            let is_wanted = |part: &&LeaderPart| {
                part.position == position
                    && part.token == owner.token
                    && part.renewal == owner.renewal
            };
            let part = parts.iter().find(is_wanted)?.clone();
            leader.busy.extend(part.busy);
            leader.queue_services.extend(part.queue_services);
            leader.homes.extend(part.homes);
            leader.pending.extend(part.pending);
            for (wave, machines) in part.maintained {
                extend_wave(&mut leader.maintained, wave, machines);
            }
        }
        Some(leader)
    }
}

/// Returns the entries of all lists, those first that a leader of an older version needs most.
fn entries(leader: &Leader) -> impl Iterator<Item = Entry> {
    let maintained = leader.maintained.iter().flat_map(|(wave, machines)| {
        let chunks = machines.chunks(MACHINES_PER_ENTRY);
        let empty = machines.is_empty().then_some(&[][..]);
        let chunks = chunks.chain(empty);
        chunks.map(|machines| Entry::Maintained(*wave, machines.to_vec()))
    });
    let services = leader.queue_services.iter().cloned();
    let pending = leader.pending.iter().cloned();
    let busy = leader.busy.iter().cloned();
    let homes = leader.homes.iter().cloned();
    maintained
        .chain(services.map(Entry::QueueService))
        .chain(pending.map(Entry::Pending))
        .chain(busy.map(Entry::Busy))
        .chain(homes.map(Entry::Home))
}

fn extend_wave(waves: &mut Vec<(u64, Vec<Arc<str>>)>, wave: u64, machines: Vec<Arc<str>>) {
    match waves.iter_mut().find(|(number, _)| *number == wave) {
        Some((_, known)) => known.extend(machines),
        None => waves.push((wave, machines)),
    }
}

impl Entry {
    /// Returns the size of the entry in a row, with the comma after it.
    fn bytes(&self) -> usize {
        1 + match self {
            Self::Maintained(wave, machines) => row_bytes(&(wave, machines)),
            Self::QueueService(service) => row_bytes(service),
            Self::Pending(queue) => row_bytes(queue),
            Self::Busy(worker) => row_bytes(worker),
            Self::Home(machine) => row_bytes(machine),
        }
    }

    fn add_to_part(self, part: &mut LeaderPart) {
        match self {
            Self::Maintained(wave, machines) => extend_wave(&mut part.maintained, wave, machines),
            Self::QueueService(service) => part.queue_services.push(service),
            Self::Pending(queue) => part.pending.push(queue),
            Self::Busy(worker) => part.busy.push(worker),
            Self::Home(machine) => part.homes.push(machine),
        }
    }

    fn add_to_owner(self, owner: &mut Leader) {
        match self {
            Self::Maintained(wave, machines) => extend_wave(&mut owner.maintained, wave, machines),
            Self::QueueService(service) => owner.queue_services.push(service),
            Self::Pending(queue) => owner.pending.push(queue),
            Self::Busy(worker) => owner.busy.push(worker),
            Self::Home(machine) => owner.homes.push(machine),
        }
    }
}
