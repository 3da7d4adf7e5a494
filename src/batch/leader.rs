use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Engine, JobMemory, Occupancy, QueueService, Strength, Tenancy, Transfer};
use crate::clock::Instant;

/// The leader row: the current leader and what its successor needs to know.
///
/// ```
/// use coriandernotch::batch::Leader;
///
/// let first = Leader::default().successor(&"a".into(), 5, 0);
/// let second = first.successor(&"b".into(), 7, 0);
/// assert_eq!((first.token, second.token), (1, 2));
/// assert!(!second.is_same_term(&first));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Leader {
    /// Name of the leading instance.
    pub holder: Arc<str>,
    /// Start time of its process in milliseconds since 1970, which distinguishes processes with the
    /// same name.
    pub incarnation: u64,
    /// Fencing token of the leader, which increases with each change of leadership.
    pub token: u64,
    /// Number of this write by the holder. No other write of its process has it, also if one of them
    /// got no answer: others tell from it that the holder is present.
    pub renewal: u64,
    /// Clock of the store when the renewal was sent, in milliseconds; 0 if unknown.
    pub renewed_ms: u64,
    /// Whether the leader has resigned and left a complete list of the workers that may have runs.
    pub vacant: bool,
    /// Strength of the leader.
    pub strength: Strength,
    /// Instance that asks for the leadership.
    pub transfer: Option<Transfer>,
    /// Instance for which the leader resigned; empty if any may take over.
    pub transferee: Arc<str>,
    /// Whether the leader gave up before it used any worker, and the one before it had crashed: there
    /// is no list of runs. Instances of older versions do not know this field and take the term as one
    /// that expires.
    pub abandoned: bool,
    /// Clock of the store when a leader last resigned because it could not keep up, in milliseconds;
    /// 0 if none has.
    pub behind_ms: u64,
    /// Memory that the jobs in progress need. Instances of older versions do not know this field.
    pub job_memory: JobMemory,
    /// Number of waiting jobs of each queue.
    pub pending: Vec<(Arc<str>, u64)>,
    /// Workers that may have runs and do not answer.
    pub busy: Vec<Occupancy>,
    /// Services that queues use besides those for which their jobs were accepted.
    pub queue_services: Vec<QueueService>,
    /// Machines lent to other pools, with their home pools.
    pub homes: Vec<(Arc<str>, Arc<str>)>,
    /// Machines whose maintenance has begun, by wave.
    pub maintained: Vec<(u64, Vec<Arc<str>>)>,
    /// Number of further rows with parts of the lists; see [`super::LeaderRows`]. Instances of older
    /// versions do not know this field.
    pub parts: u32,
}

impl Leader {
    /// Returns whether the holder has not given up the leadership.
    pub fn is_held(&self) -> bool {
        !self.vacant && !self.abandoned
    }

    /// Returns whether somebody leads, as it concerns the instance `name`.
    ///
    /// ```
    /// use coriandernotch::batch::{Leader, Tenancy};
    ///
    /// let leader = Leader { vacant: true, transferee: "a".into(), ..Leader::default() };
    /// assert_eq!(leader.tenancy("a"), Tenancy::Vacant);
    /// assert_eq!(leader.tenancy("b"), Tenancy::Reserved);
    /// assert_eq!(Leader::default().tenancy("a"), Tenancy::Held);
    /// ```
    pub fn tenancy(&self, name: &str) -> Tenancy {
        let is_open = self.transferee.is_empty() || &*self.transferee == name;
        match (self.is_held(), is_open) {
            (true, _) => Tenancy::Held,
            (false, true) => Tenancy::Vacant,
            (false, false) => Tenancy::Reserved,
        }
    }

    /// Returns the row by which the instance `holder` takes over from this leader.
    #[must_use]
    pub fn successor(&self, holder: &Arc<str>, incarnation: u64, renewed_ms: u64) -> Self {
        Self {
            holder: holder.clone(),
            incarnation,
            token: self.token + 1,
            renewal: 0,
            renewed_ms,
            vacant: false,
            transfer: None,
            transferee: Arc::default(),
            abandoned: false,
            busy: self.busy.iter().map(Occupancy::outdated).collect(),
            ..self.clone()
        }
    }

    /// Returns the row for the next renewal of this leader.
    #[must_use]
    pub fn renewed(&self, engine: &mut Engine, renewed_ms: u64, now: Instant) -> Self {
        Self {
            renewed_ms,
            transfer: None,
            job_memory: engine.job_memory(),
            pending: engine.unstarted_jobs().collect(),
            busy: engine.list_silent_workers(now),
            queue_services: engine.queue_services(),
            maintained: engine.maintained(),
            homes: engine.lent_machines(),
            ..self.clone()
        }
    }

    /// Returns the row for the next renewal of a leader that still loads its state. Everything else
    /// stays as written at the takeover: the leader has not started or ended any run since.
    ///
    /// ```
    /// use coriandernotch::batch::Leader;
    ///
    /// let leader = Leader::default().successor(&"a".into(), 5, 0);
    /// let renewed = leader.renewed_while_loading(400);
    /// assert_eq!((renewed.token, renewed.renewed_ms), (1, 400));
    /// ```
    #[must_use]
    pub fn renewed_while_loading(&self, renewed_ms: u64) -> Self {
        Self {
            renewed_ms,
            transfer: None,
            ..self.clone()
        }
    }

    /// Returns whether this row shows the same renewal as `other`, an earlier version of it.
    pub fn is_same_renewal(&self, other: &Self) -> bool {
        other.is_same_term(self) && self.renewal == other.renewal
    }

    /// Returns whether `found` was written in the term of this row, which the same process leads.
    /// Then a conflict with `found` is one with an earlier write whose response was lost.
    pub fn is_same_term(&self, found: &Self) -> bool {
        found.holder == self.holder
            && found.incarnation == self.incarnation
            && found.token == self.token
            && !found.vacant
    }
}
