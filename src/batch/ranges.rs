use serde::{Deserialize, Serialize};

/// A set of numbers that is stored as its ranges, since most of its numbers follow each other.
///
/// ```
/// use coriandernotch::batch::Ranges;
///
/// let numbers: Ranges = [3, 1, 2, 7].into_iter().collect();
/// assert!(numbers.contains(2) && !numbers.contains(4));
/// assert_eq!(numbers.iter().collect::<Vec<_>>(), [1, 2, 3, 7]);
/// assert_eq!(numbers.range_count(), 2);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Ranges(Vec<(u32, u32)>);

impl Ranges {
    /// Returns the numbers below `end`.
    ///
    /// ```
    /// use coriandernotch::batch::Ranges;
    ///
    /// assert_eq!(Ranges::below(3).iter().collect::<Vec<_>>(), [0, 1, 2]);
    /// assert!(Ranges::below(0).is_empty());
    /// ```
    pub fn below(end: u32) -> Self {
        Self(
            end.checked_sub(1)
                .map(|last| (0, last))
                .into_iter()
                .collect(),
        )
    }

    /// Adds a number.
    ///
    /// See [`Ranges`] for an example.
    pub fn insert(&mut self, number: u32) {
        if self.contains(number) {
            return;
        }
        let next = self.0.partition_point(|(first, _)| *first < number);
        let joins_next = self
            .0
            .get(next)
            .is_some_and(|(first, _)| first - 1 == number);
        let joins_previous = next > 0 && self.0[next - 1].1 + 1 == number;
        match (joins_previous, joins_next) {
            (true, true) => {
                self.0[next - 1].1 = self.0[next].1;
                self.0.remove(next);
            }
            (true, false) => self.0[next - 1].1 = number,
            (false, true) => self.0[next].0 = number,
            (false, false) => self.0.insert(next, (number, number)),
        }
    }

    /// Returns whether the set contains a number.
    ///
    /// See [`Ranges`] for an example.
    pub fn contains(&self, number: u32) -> bool {
        let next = self.0.partition_point(|(first, _)| *first <= number);
        next > 0 && number <= self.0[next - 1].1
    }

    /// Returns the numbers in ascending order.
    ///
    /// See [`Ranges`] for an example.
    pub fn iter(&self) -> impl Iterator<Item = u32> {
        self.0.iter().flat_map(|(first, last)| *first..=*last)
    }

    /// Returns the largest number.
    ///
    /// ```
    /// assert_eq!(coriandernotch::batch::Ranges::default().last(), None);
    /// ```
    pub fn last(&self) -> Option<u32> {
        self.0.last().map(|(_, last)| *last)
    }

    /// Counts the numbers.
    ///
    /// ```
    /// assert_eq!(coriandernotch::batch::Ranges::default().len(), 0);
    /// ```
    pub fn len(&self) -> u64 {
        let lengths = self.0.iter();
        lengths
            .map(|(first, last)| u64::from(last - first) + 1)
            .sum()
    }

    /// Returns whether there are no numbers.
    ///
    /// ```
    /// assert!(coriandernotch::batch::Ranges::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Counts the ranges, which determine the size of the set.
    ///
    /// See [`Ranges`] for an example.
    pub fn range_count(&self) -> usize {
        self.0.len()
    }
}

impl FromIterator<u32> for Ranges {
    fn from_iter<I: IntoIterator<Item = u32>>(numbers: I) -> Self {
        let mut ranges = Self::default();
        numbers.into_iter().for_each(|number| ranges.insert(number));
        ranges
    }
}
