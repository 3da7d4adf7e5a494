use super::{AGE_UNIT, Affirmation, Voter};
use crate::clock::Instant;

/// Evidence that no version is in force except those that an instance enforces.
///
/// A group is the list of voters of one enforced version. The evidence of a group is a majority of
/// its voters that have not retired, each taken with its newest affirmation; it is as old as the
/// oldest affirmation in the most recent such majority. The group with the oldest evidence decides.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Freshness {
    records: Vec<Record>,
    /// Indices into `records`, one list for each enforced version, the one in force first.
    groups: Vec<Vec<u32>>,
    /// Start of the newest read that showed the head in force.
    head_read: Option<Instant>,
}

/// What is known about one voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Record {
    voter: Voter,
    /// Lower bound of the time of the newest affirmation.
    affirmed_at: Option<Instant>,
    retired: bool,
}

impl Freshness {
    /// Replaces the groups and keeps the records of voters that remain.
    ///
    /// An earlier affirmation stays valid for newer versions: a voter that had not acknowledged a
    /// version by then had not acknowledged any later version either.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::config::{Freshness, Voter};
    ///
    /// let (a, b) = (Voter::new("a", 1), Voter::new("b", 1));
    /// let mut freshness = Freshness::default();
    /// freshness.set_groups(&[std::slice::from_ref(&a)]);
    /// freshness.record_affirmation(&a, Instant::default());
    /// assert!(freshness.majority_affirmed_at(None).is_some());
    /// freshness.set_groups(&[&[a, b]]);
    /// assert!(freshness.majority_affirmed_at(None).is_none());
    /// ```
    pub fn set_groups(&mut self, groups: &[&[Voter]]) {
        let mut records: Vec<Record> = Vec::new();
        self.groups = groups
            .iter()
            .map(|voters| {
                voters
                    .iter()
                    .map(|voter| self.find_or_add(&mut records, voter))
                    .collect()
            })
            .collect();
        self.records = records;
    }

    /// Returns the index of a voter in `records`, copying its record from `self` or adding one.
    fn find_or_add(&self, records: &mut Vec<Record>, voter: &Voter) -> u32 {
        let index = records.iter().position(|record| record.voter == *voter);
        let index = index.unwrap_or_else(|| {
            let known = self.records.iter().find(|record| record.voter == *voter);
            records.push(known.cloned().unwrap_or(Record {
                voter: voter.clone(),
                affirmed_at: None,
                retired: false,
            }));
            records.len() - 1
        });
        u32::try_from(index).expect("fewer than 2^32 voters")
    }

    /// Records a head read that began at `started` and showed the version in force.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::config::Freshness;
    ///
    /// let mut freshness = Freshness::default();
    /// freshness.record_head_read(Instant::default());
    /// assert_eq!(freshness.head_read(), Some(Instant::default()));
    /// ```
    pub fn record_head_read(&mut self, started: Instant) {
        self.head_read = self.head_read.max(Some(started));
    }

    /// Returns the start of the newest head read that showed the version in force.
    ///
    /// See [`Freshness::record_head_read`] for an example.
    pub fn head_read(&self) -> Option<Instant> {
        self.head_read
    }

    /// Records that `voter` sent an affirmation no earlier than `at`.
    ///
    /// See [`Freshness::set_groups`] for an example.
    pub fn record_affirmation(&mut self, voter: &Voter, at: Instant) {
        if let Some(record) = self
            .records
            .iter_mut()
            .find(|record| record.voter == *voter)
        {
            record.affirmed_at = record.affirmed_at.max(Some(at));
        }
    }

    /// Records that `voter` has retired and acknowledges no further version.
    ///
    /// ```
    /// use coriandernotch::config::{Freshness, Voter};
    ///
    /// let mut freshness = Freshness::default();
    /// freshness.set_groups(&[&[Voter::new("a", 1)]]);
    /// freshness.record_retirement(&Voter::new("a", 1));
    /// assert!(freshness.is_retired(&Voter::new("a", 1)));
    /// ```
    pub fn record_retirement(&mut self, voter: &Voter) {
        if let Some(record) = self
            .records
            .iter_mut()
            .find(|record| record.voter == *voter)
        {
            record.retired = true;
        }
    }

    /// Tells whether `voter` is known to have retired.
    ///
    /// See [`Freshness::record_retirement`] for an example.
    pub fn is_retired(&self, voter: &Voter) -> bool {
        self.records
            .iter()
            .any(|record| record.retired && record.voter == *voter)
    }

    /// Merges the ages that a peer sent in reply to a pull that was sent at `sent`.
    ///
    /// The ages must belong to the voters of the version in force, in the order of their list; a
    /// list of another length is ignored.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::config::{Freshness, Voter};
    ///
    /// let mut freshness = Freshness::default();
    /// freshness.set_groups(&[&[Voter::new("a", 1)]]);
    /// freshness.merge_ages(Instant::default(), &[0]);
    /// assert_eq!(freshness.ages(Instant::default()), [0]);
    /// ```
    pub fn merge_ages(&mut self, sent: Instant, ages: &[u8]) {
        let Some(group) = self
            .groups
            .first()
            .filter(|group| group.len() == ages.len())
        else {
            return;
        };
        for (&index, &age) in group.iter().zip(ages) {
            let record = &mut self.records[index as usize];
            match age {
                Affirmation::UNKNOWN => {}
                Affirmation::RETIRED => record.retired = true,
                age => {
                    let at = sent - AGE_UNIT * u32::from(age);
                    record.affirmed_at = record.affirmed_at.max(Some(at));
                }
            }
        }
    }

    /// Returns the ages for the voters of the version in force, as in [`Affirmation::ages`].
    ///
    /// See [`Freshness::merge_ages`] for an example.
    pub fn ages(&self, now: Instant) -> Vec<u8> {
        let age = |record: &Record| match record.affirmed_at {
            _ if record.retired => Affirmation::RETIRED,
            None => Affirmation::UNKNOWN,
            Some(at) => {
                let units = now.since(at).as_nanos().div_ceil(AGE_UNIT.as_nanos());
                u8::try_from(units)
                    .ok()
                    .filter(|&units| units < Affirmation::RETIRED)
                    .unwrap_or(Affirmation::UNKNOWN)
            }
        };
        self.groups
            .first()
            .into_iter()
            .flatten()
            .map(|&index| age(&self.records[index as usize]))
            .collect()
    }

    /// Returns the latest time at or after which more than half of each group sent an affirmation.
    ///
    /// Voters that have retired are not counted. `own_vote` is the voter of this instance and the
    /// time up to which its own affirmation holds, or `None` if it has no vote. A group whose
    /// voters have all retired gives no evidence, because a commit then needs no acknowledgement.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::config::{Freshness, Voter};
    ///
    /// let a = Voter::new("a", 1);
    /// let mut freshness = Freshness::default();
    /// freshness.set_groups(&[std::slice::from_ref(&a)]);
    /// assert_eq!(freshness.majority_affirmed_at(None), None);
    /// assert!(freshness.majority_affirmed_at(Some((&a, Instant::default()))).is_some());
    /// ```
    pub fn majority_affirmed_at(&self, own_vote: Option<(&Voter, Instant)>) -> Option<Instant> {
        let affirmed_at = |record: &Record| match own_vote {
            Some((voter, at)) if *voter == record.voter => Some(at),
            _ => record.affirmed_at,
        };
        let majority_time = |group: &Vec<u32>| {
            let mut times: Vec<Option<Instant>> = group
                .iter()
                .map(|&index| &self.records[index as usize])
                .filter(|record| !record.retired)
                .map(affirmed_at)
                .collect();
            times.sort_unstable_by(|a, b| b.cmp(a));
            times.get(times.len() / 2).copied().flatten()
        };
        let times: Option<Vec<Instant>> = self.groups.iter().map(majority_time).collect();
        times?.into_iter().min()
    }
}
