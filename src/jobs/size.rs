use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

/// Amounts of processors, memory and accelerators, in whole units.
///
/// ```
/// use coriandernotch::jobs::Size;
///
/// let worker = Size::new(64_000, 131_072, 8);
/// assert!(worker.covers(Size::new(4_000, 2_048, 1)));
/// assert!(!worker.covers(Size::new(4_000, 2_048, 9)));
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Size {
    /// Thousandths of a processor.
    pub processors: u64,
    /// Memory in MiB.
    pub memory: u64,
    /// Whole accelerators; a job holds them exclusively.
    #[serde(default)]
    pub accelerators: u64,
}

impl Size {
    /// No resources.
    pub const ZERO: Self = Self::new(0, 0, 0);

    /// Creates a size from thousandths of a processor, MiB and accelerators.
    pub const fn new(processors: u64, memory: u64, accelerators: u64) -> Self {
        Self {
            processors,
            memory,
            accelerators,
        }
    }

    /// Returns whether `other` fits into this size, that is, is no larger in any resource.
    pub fn covers(self, other: Self) -> bool {
        other.processors <= self.processors
            && other.memory <= self.memory
            && other.accelerators <= self.accelerators
    }

    /// Returns how many of `other` fit into this size together; `usize::MAX` if `other` is empty.
    ///
    /// ```
    /// use coriandernotch::jobs::Size;
    ///
    /// let free = Size::new(4_000, 1_000, 0);
    /// assert_eq!(free.count_of(Size::new(1_500, 100, 0)), 2);
    /// assert_eq!(free.count_of(Size::new(1_000, 100, 1)), 0);
    /// assert_eq!(free.count_of(Size::ZERO), usize::MAX);
    /// ```
    pub fn count_of(self, other: Self) -> usize {
        let amounts = [
            (self.processors, other.processors),
            (self.memory, other.memory),
            (self.accelerators, other.accelerators),
        ];
        let counts = amounts
            .into_iter()
            .filter_map(|(all, one)| all.checked_div(one));
        let count = counts.min().unwrap_or(u64::MAX);
        usize::try_from(count).unwrap_or(usize::MAX)
    }

    /// Returns the larger amount of each resource.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        self.zip(other, u64::max)
    }

    /// Returns the smaller amount of each resource.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        self.zip(other, u64::min)
    }

    /// Returns the size reduced by `percent` percent, rounded down.
    ///
    /// ```
    /// use coriandernotch::jobs::Size;
    ///
    /// assert_eq!(Size::new(200, 100, 1).reduced_by_percent(3), Size::new(194, 97, 0));
    /// ```
    #[must_use]
    pub fn reduced_by_percent(self, percent: u64) -> Self {
        let reduced = |amount: u64| amount * (100 - percent.min(100)) / 100;
        Self::new(
            reduced(self.processors),
            reduced(self.memory),
            reduced(self.accelerators),
        )
    }

    /// Returns the fraction of `total` for each resource, 0 where `total` has none.
    pub fn fractions(self, total: Self) -> [f64; 3] {
        let fraction = |amount: u64, total_amount: u64| {
            if total_amount == 0 {
                0.0
            } else {
                amount as f64 / total_amount as f64
            }
        };
        [
            fraction(self.processors, total.processors),
            fraction(self.memory, total.memory),
            fraction(self.accelerators, total.accelerators),
        ]
    }

    /// Returns the dominant share: the largest fraction of `total` over all resources.
    ///
    /// ```
    /// use coriandernotch::jobs::Size;
    ///
    /// assert_eq!(Size::new(10, 50, 0).dominant_share(Size::new(100, 100, 8)), 0.5);
    /// ```
    pub fn dominant_share(self, total: Self) -> f64 {
        self.fractions(total).into_iter().fold(0.0, f64::max)
    }

    /// Combines each resource of both sizes.
    fn zip(self, other: Self, f: impl Fn(u64, u64) -> u64) -> Self {
        Self::new(
            f(self.processors, other.processors),
            f(self.memory, other.memory),
            f(self.accelerators, other.accelerators),
        )
    }
}

/// Adds each resource, saturating at the largest value.
impl Add for Size {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        self.zip(rhs, u64::saturating_add)
    }
}

/// Subtracts each resource, saturating at zero.
impl Sub for Size {
    type Output = Self;

    fn sub(self, rhs: Self) -> Self {
        self.zip(rhs, u64::saturating_sub)
    }
}
