use std::sync::Arc;
use std::time::Duration;

use super::{Cap, TermsId, Voter};
use crate::fleet::{Snapshot, WorkspaceId};

/// The limits of one version, and the voters over which they are split.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Version number; numbers of committed versions are consecutive from 1.
    pub version: u64,
    /// Voters over which limits are split, in ascending order.
    pub voters: Vec<Voter>,
    /// Limits, in ascending order of name.
    pub caps: Vec<Cap>,
    /// Longest time for which a unit may run.
    pub longest_run: Duration,
}

impl Terms {
    /// Makes terms from their parts; the order of the arguments' elements does not matter.
    ///
    /// ```
    /// use std::time::Duration;
    /// use coriandernotch::limit::{Terms, Voter};
    ///
    /// let voters = vec![Voter::new("b", 1), Voter::new("a", 1)];
    /// let terms = Terms::new(1, voters, vec![], Duration::from_secs(30));
    /// assert_eq!(&*terms.voters[0].name, "a");
    /// ```
    pub fn new(
        version: u64,
        mut voters: Vec<Voter>,
        mut caps: Vec<Cap>,
        longest_run: Duration,
    ) -> Self {
        voters.sort();
        voters.dedup();
        caps.sort_by(|a, b| a.name.cmp(&b.name));
        Self {
            version,
            voters,
            caps,
            longest_run,
        }
    }

    /// Makes terms from the limits and longest run of a snapshot.
    ///
    /// ```
    /// use coriandernotch::fleet::Snapshot;
    /// use coriandernotch::limit::Terms;
    ///
    /// assert!(Terms::of(&Snapshot::default(), vec![]).caps.is_empty());
    /// ```
    pub fn of(snapshot: &Snapshot, voters: Vec<Voter>) -> Self {
        let millis = snapshot.document().map_or(0, |d| d.longest_run_ms);
        let caps = snapshot.workspaces().map(|(workspace, t)| Cap {
            workspace,
            name: t.name.clone(),
            limit: t.limit,
        });
        Self::new(
            snapshot.version(),
            voters,
            caps.collect(),
            Duration::from_millis(u64::from(millis)),
        )
    }

    /// Makes terms over voters `a`, `b`, ... with one workspace, for examples and tests.
    ///
    /// ```
    /// use coriandernotch::limit::Terms;
    ///
    /// assert_eq!(Terms::example(1, 2, 10).voters.len(), 2);
    /// ```
    pub fn example(version: u64, voters: u8, limit: u32) -> Self {
        let name = |i: u8| char::from(b'a' + i).to_string();
        Self::new(
            version,
            (0..voters).map(|i| Voter::new(&name(i), 1)).collect(),
            vec![Cap {
                workspace: WorkspaceId(0),
                name: Arc::from("quotes"),
                limit,
            }],
            Duration::from_secs(30),
        )
    }

    /// Returns the version number and content hash that identify these terms.
    ///
    /// ```
    /// use coriandernotch::limit::Terms;
    ///
    /// assert_ne!(Terms::example(1, 2, 10).id(), Terms::example(1, 2, 11).id());
    /// ```
    pub fn id(&self) -> TermsId {
        let nanos = u64::try_from(self.longest_run.as_nanos()).unwrap_or(u64::MAX);
        let voters = self
            .voters
            .iter()
            .fold(nanos, |h, v| super::mix(h ^ super::hash_voter(v)));
        let tag = self.caps.iter().fold(voters, |h, c| {
            super::mix(super::hash(h, c.name.as_bytes()) ^ u64::from(c.limit))
        });
        TermsId {
            version: self.version,
            tag,
        }
    }
}
