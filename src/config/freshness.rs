use super::{AGE_UNIT, Affirmation, Voter};
use crate::clock::Instant;

/// Evidence that no version is in force but those that an instance enforces.
///
/// A group is the list of voters of one version to enforce. Evidence from affirmations is as old
/// as the oldest of the newest statements of more than half of each group, not counting those
/// that retired.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Freshness {
    marks: Vec<Mark>,
    groups: Vec<Vec<u32>>,
    head_read: Option<Instant>,
}

/// What is known of one voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Mark {
    voter: Voter,
    affirmed: Option<Instant>,
    retired: bool,
}

impl Freshness {
    /// Replaces the groups, keeping what is known of voters that remain.
    ///
    /// An older statement stays true for newer versions: who had acknowledged less then had not
    /// acknowledged what follows them either.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::config::{Freshness, Voter};
    ///
    /// let (a, b) = (Voter::new("a", 1), Voter::new("b", 1));
    /// let mut freshness = Freshness::default();
    /// freshness.regroup(&[std::slice::from_ref(&a)]);
    /// freshness.affirm(&a, Instant::default());
    /// assert!(freshness.majority(None).is_some());
    /// freshness.regroup(&[&[a, b]]);
    /// assert!(freshness.majority(None).is_none());
    /// ```
    pub fn regroup(&mut self, groups: &[&[Voter]]) {
        let mut marks: Vec<Mark> = Vec::new();
        self.groups = groups
            .iter()
            .map(|voters| {
                voters
                    .iter()
                    .map(|voter| self.place(&mut marks, voter))
                    .collect()
            })
            .collect();
        self.marks = marks;
    }

    fn place(&self, marks: &mut Vec<Mark>, voter: &Voter) -> u32 {
        let place = marks.iter().position(|mark| mark.voter == *voter);
        let place = place.unwrap_or_else(|| {
            let known = self.marks.iter().find(|mark| mark.voter == *voter);
            marks.push(known.cloned().unwrap_or(Mark {
                voter: voter.clone(),
                affirmed: None,
                retired: false,
            }));
            marks.len() - 1
        });
        u32::try_from(place).expect("fewer than 2^32 voters")
    }

    /// Notes a head read that began at `started` and showed the version in force.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::config::Freshness;
    ///
    /// let mut freshness = Freshness::default();
    /// freshness.read(Instant::default());
    /// assert_eq!(freshness.head_read(), Some(Instant::default()));
    /// ```
    pub fn read(&mut self, started: Instant) {
        self.head_read = self.head_read.max(Some(started));
    }

    /// Returns the start of the newest head read.
    ///
    /// See [`Freshness::read`] for an example.
    pub fn head_read(&self) -> Option<Instant> {
        self.head_read
    }

    /// Notes that `voter` affirmed no earlier than `at`.
    ///
    /// See [`Freshness::regroup`] for an example.
    pub fn affirm(&mut self, voter: &Voter, at: Instant) {
        if let Some(mark) = self.marks.iter_mut().find(|mark| mark.voter == *voter) {
            mark.affirmed = mark.affirmed.max(Some(at));
        }
    }

    /// Notes that `voter` acknowledges nothing more.
    ///
    /// ```
    /// use coriandernotch::config::{Freshness, Voter};
    ///
    /// let mut freshness = Freshness::default();
    /// freshness.regroup(&[&[Voter::new("a", 1)]]);
    /// freshness.retire(&Voter::new("a", 1));
    /// assert!(freshness.is_retired(&Voter::new("a", 1)));
    /// ```
    pub fn retire(&mut self, voter: &Voter) {
        if let Some(mark) = self.marks.iter_mut().find(|mark| mark.voter == *voter) {
            mark.retired = true;
        }
    }

    /// Tells whether `voter` is known to have retired.
    ///
    /// See [`Freshness::retire`] for an example.
    pub fn is_retired(&self, voter: &Voter) -> bool {
        self.marks
            .iter()
            .any(|mark| mark.retired && mark.voter == *voter)
    }

    /// Takes over the ages that a peer sent in answer to a request of `sent`.
    ///
    /// The ages must be those of the voters of the version in force.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::config::{Freshness, Voter};
    ///
    /// let mut freshness = Freshness::default();
    /// freshness.regroup(&[&[Voter::new("a", 1)]]);
    /// freshness.merge(Instant::default(), &[0]);
    /// assert_eq!(freshness.ages(Instant::default()), [0]);
    /// ```
    pub fn merge(&mut self, sent: Instant, ages: &[u8]) {
        let Some(group) = self
            .groups
            .first()
            .filter(|group| group.len() == ages.len())
        else {
            return;
        };
        for (&place, &age) in group.iter().zip(ages) {
            let mark = &mut self.marks[place as usize];
            match age {
                Affirmation::UNKNOWN => {}
                Affirmation::RETIRED => mark.retired = true,
                age => {
                    let at = sent - AGE_UNIT * u32::from(age);
                    mark.affirmed = mark.affirmed.max(Some(at));
                }
            }
        }
    }

    /// Returns the ages of the voters of the version in force, as an [`Affirmation`] has them.
    ///
    /// See [`Freshness::merge`] for an example.
    pub fn ages(&self, now: Instant) -> Vec<u8> {
        let age = |mark: &Mark| match mark.affirmed {
            _ if mark.retired => Affirmation::RETIRED,
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
            .map(|&place| age(&self.marks[place as usize]))
            .collect()
    }

    /// Returns the time since which more than half of each group affirmed.
    ///
    /// `own` is the own vote and the time up to which it affirms. A group whose voters have all
    /// retired gives no evidence, because a commit then needs no acknowledgement.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::config::{Freshness, Voter};
    ///
    /// let a = Voter::new("a", 1);
    /// let mut freshness = Freshness::default();
    /// freshness.regroup(&[std::slice::from_ref(&a)]);
    /// assert_eq!(freshness.majority(None), None);
    /// assert!(freshness.majority(Some((&a, Instant::default()))).is_some());
    /// ```
    pub fn majority(&self, own: Option<(&Voter, Instant)>) -> Option<Instant> {
        let affirmed = |mark: &Mark| match own {
            Some((voter, at)) if *voter == mark.voter => Some(at),
            _ => mark.affirmed,
        };
        let oldest = |group: &Vec<u32>| {
            let mut times: Vec<Option<Instant>> = group
                .iter()
                .map(|&place| &self.marks[place as usize])
                .filter(|mark| !mark.retired)
                .map(affirmed)
                .collect();
            times.sort_unstable_by(|a, b| b.cmp(a));
            times.get(times.len() / 2).copied().flatten()
        };
        let all: Option<Vec<Instant>> = self.groups.iter().map(oldest).collect();
        all?.into_iter().min()
    }
}
