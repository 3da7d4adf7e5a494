use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

/// Amount of resources, in whole units.
///
/// ```
/// use coriandernotch::jobs::Size;
///
/// let worker = Size::new(64_000, 131_072, 8);
/// assert!(worker.fits(Size::new(4_000, 2_048, 1)));
/// assert!(!worker.fits(Size::new(4_000, 2_048, 9)));
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
    /// Nothing.
    pub const ZERO: Self = Self::new(0, 0, 0);

    /// Makes a size from thousandths of a processor, MiB and accelerators.
    pub const fn new(processors: u64, memory: u64, accelerators: u64) -> Self {
        Self {
            processors,
            memory,
            accelerators,
        }
    }

    /// Returns whether `other` is at most this size in every resource.
    pub fn fits(self, other: Self) -> bool {
        other.processors <= self.processors
            && other.memory <= self.memory
            && other.accelerators <= self.accelerators
    }

    /// Returns the larger of both per resource.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        self.zip(other, u64::max)
    }

    /// Returns the smaller of both per resource.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        self.zip(other, u64::min)
    }

    /// Returns the size less `percent` of it, rounded down.
    ///
    /// ```
    /// use coriandernotch::jobs::Size;
    ///
    /// assert_eq!(Size::new(200, 100, 1).less(3), Size::new(194, 97, 0));
    /// ```
    #[must_use]
    pub fn less(self, percent: u64) -> Self {
        let keep = |n: u64| n * (100 - percent.min(100)) / 100;
        Self::new(
            keep(self.processors),
            keep(self.memory),
            keep(self.accelerators),
        )
    }

    /// Returns the share of `total` per resource; zero where `total` has none.
    pub fn fractions(self, total: Self) -> [f64; 3] {
        let part = |n: u64, of: u64| if of == 0 { 0.0 } else { n as f64 / of as f64 };
        [
            part(self.processors, total.processors),
            part(self.memory, total.memory),
            part(self.accelerators, total.accelerators),
        ]
    }

    /// Returns the largest share of `total` over the resources (the dominant share).
    ///
    /// ```
    /// use coriandernotch::jobs::Size;
    ///
    /// assert_eq!(Size::new(10, 50, 0).dominant(Size::new(100, 100, 8)), 0.5);
    /// ```
    pub fn dominant(self, total: Self) -> f64 {
        self.fractions(total).into_iter().fold(0.0, f64::max)
    }

    fn zip(self, other: Self, f: impl Fn(u64, u64) -> u64) -> Self {
        Self::new(
            f(self.processors, other.processors),
            f(self.memory, other.memory),
            f(self.accelerators, other.accelerators),
        )
    }
}

impl Add for Size {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        self.zip(rhs, u64::saturating_add)
    }
}

/// Subtraction stops at zero in each resource.
impl Sub for Size {
    type Output = Self;

    fn sub(self, rhs: Self) -> Self {
        self.zip(rhs, u64::saturating_sub)
    }
}
