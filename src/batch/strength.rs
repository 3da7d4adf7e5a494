use serde::{Deserialize, Serialize};

/// Thousandths of a whole.
const SCALE: f64 = 1_000.0;

/// Processor time that an instance can use for leading, in thousandths of a processor; 0 if unknown.
///
/// ```
/// use coriandernotch::batch::Strength;
///
/// let (small, large) = (Strength::from_share(0.12), Strength::from_share(0.5));
/// assert!(large.clearly_exceeds(small));
/// assert!(!large.clearly_exceeds(Strength::from_share(0.4)));
/// assert!(!large.clearly_exceeds(Strength::default()), "an unknown strength");
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Strength(u32);

impl Strength {
    /// Converts a share of one processor. An instance with any share has at least the strength 1.
    pub fn from_share(share: f64) -> Self {
        Self((share * SCALE).clamp(1.0, f64::from(u32::MAX)) as u32)
    }

    /// Returns the thousandths of a processor.
    pub fn thousandths(self) -> u32 {
        self.0
    }

    /// Returns the strength of an instance that cannot keep up with its work.
    ///
    /// ```
    /// use coriandernotch::batch::Strength;
    ///
    /// let strength = Strength::from_share(0.5);
    /// assert!(strength.clearly_exceeds(strength.reduced()));
    /// ```
    #[must_use]
    pub fn reduced(self) -> Self {
        Self(self.0.div_ceil(2))
    }

    /// Returns whether a leader with the strength `other` should make way: this is at least one and a
    /// half times as much. Smaller differences do not repay a change of the leader.
    pub fn clearly_exceeds(self, other: Self) -> bool {
        other.0 > 0 && u64::from(self.0) * 2 >= u64::from(other.0) * 3
    }
}
