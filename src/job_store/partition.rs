/// Number of partitions of the table of jobs.
///
/// A partition carries out one transaction after the other. At 50 times 8 ms each, 256 partitions
/// take 640 transactions a second, five times the mean of the largest deployment.
const JOB_PARTITIONS: u16 = 256;

/// Number of partitions of the tables of progress and of fences. Instances of earlier versions keep
/// jobs in them as well.
const PROGRESS_PARTITIONS: u8 = 2;

/// Partition of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Partition {
    /// Jobs and their cancellations.
    Jobs(u8),
    /// Progress and its fence, and jobs that an instance of an earlier version has stored.
    Progress(u8),
}

impl Partition {
    /// Returns the partition of a job and of its cancellation.
    ///
    /// ```
    /// use coriandernotch::job_store::Partition;
    ///
    /// let partition = Partition::of_job("00000000000000a1");
    /// assert_eq!(partition, Partition::of_job("00000000000000a1"));
    /// assert!(partition.name().starts_with('s'));
    /// ```
    pub fn of_job(id: &str) -> Self {
        // FNV-1a. Its low byte alone would depend only on the low bits of the id.
        let hash = id.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        });
        let folded = hash ^ (hash >> 32);
        Self::Jobs((folded ^ (folded >> 16) ^ (folded >> 8)) as u8)
    }

    /// Returns the partition in which a job is stored: that of the job, or that of its progress for the
    /// sake of instances of earlier versions.
    ///
    /// ```
    /// use coriandernotch::job_store::Partition;
    ///
    /// assert_eq!(Partition::to_store("a", true), Partition::of_job("a"));
    /// assert_eq!(Partition::to_store("a", false), Partition::of_progress("a"));
    /// ```
    pub fn to_store(id: &str, is_spread: bool) -> Self {
        if is_spread {
            Self::of_job(id)
        } else {
            Self::of_progress(id)
        }
    }

    /// Returns the partition of the progress of a job.
    ///
    /// ```
    /// use coriandernotch::job_store::Partition;
    ///
    /// assert_eq!(Partition::of_progress("a").name(), "j1");
    /// ```
    pub fn of_progress(id: &str) -> Self {
        let sum = id.bytes().fold(0u8, u8::wrapping_add);
        Self::Progress(sum % PROGRESS_PARTITIONS)
    }

    /// Returns all partitions in which jobs may be, those of earlier versions first.
    ///
    /// ```
    /// use coriandernotch::job_store::Partition;
    ///
    /// let names: Vec<String> = Partition::all_of_jobs().map(Partition::name).collect();
    /// assert_eq!((names.len(), &*names[0], &*names[257]), (258, "j0", "s255"));
    /// ```
    pub fn all_of_jobs() -> impl Iterator<Item = Self> {
        let jobs = (0..JOB_PARTITIONS).map(|number| Self::Jobs(number as u8));
        Self::all_of_progress().chain(jobs)
    }

    /// Returns all partitions of progress.
    ///
    /// ```
    /// assert_eq!(coriandernotch::job_store::Partition::all_of_progress().count(), 2);
    /// ```
    pub fn all_of_progress() -> impl Iterator<Item = Self> {
        (0..PROGRESS_PARTITIONS).map(Self::Progress)
    }

    /// Returns the name by which the store knows the partition.
    ///
    /// ```
    /// assert_eq!(coriandernotch::job_store::Partition::Jobs(7).name(), "s007");
    /// ```
    pub fn name(self) -> String {
        match self {
            Self::Jobs(number) => format!("s{number:03}"),
            Self::Progress(number) => format!("j{number}"),
        }
    }
}
