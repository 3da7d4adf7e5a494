use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::Ranges;

/// A set of numbers of tasks, stored as its ranges or as a bit for each number in Base64, whichever
/// is shorter: the size is at most a sixth of a byte for each number up to the largest, in whatever
/// order tasks end.
///
/// ```
/// use coriandernotch::batch::TaskSet;
///
/// let odd: TaskSet = (0..3_000).filter(|n| n % 2 == 1).collect();
/// let text = serde_json::to_string(&odd).unwrap();
/// assert!(text.len() <= 502);
/// assert_eq!(serde_json::from_str::<TaskSet>(&text).unwrap(), odd);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TaskSet(Ranges);

/// Form in which a set is stored.
#[derive(Deserialize)]
#[serde(untagged)]
enum Stored {
    Ranges(Ranges),
    Bits(String),
}

impl TaskSet {
    /// Returns the numbers in ascending order.
    ///
    /// ```
    /// let set: coriandernotch::batch::TaskSet = [4, 2].into_iter().collect();
    /// assert_eq!(set.iter().collect::<Vec<_>>(), [2, 4]);
    /// ```
    pub fn iter(&self) -> impl Iterator<Item = u32> {
        self.0.iter()
    }

    /// Returns whether the set contains a number.
    ///
    /// ```
    /// let set: coriandernotch::batch::TaskSet = [4, 2].into_iter().collect();
    /// assert!(set.contains(4) && !set.contains(3));
    /// ```
    pub fn contains(&self, number: u32) -> bool {
        self.0.contains(number)
    }

    /// Adds a number.
    pub(super) fn insert(&mut self, number: u32) {
        self.0.insert(number);
    }

    /// Returns the bits of the set in Base64 if that is shorter than its ranges.
    fn bits(&self) -> Option<String> {
        let last = usize::try_from(self.0.last()?).ok()?;
        let bytes = last / 8 + 1;
        let encoded = bytes.div_ceil(3) * 4;
        // A range has at least a digit for each bound, two brackets and two commas.
        let min_range_bytes = 6;
        let may_be_shorter = encoded < self.0.range_count() * min_range_bytes;
        if !may_be_shorter && encoded + 2 >= super::row_bytes(&self.0) {
            return None;
        }
        let mut bits = vec![0u8; bytes];
        for number in self.0.iter() {
            bits[number as usize / 8] |= 1 << (number % 8);
        }
        Some(STANDARD.encode(bits))
    }
}

impl FromIterator<u32> for TaskSet {
    fn from_iter<I: IntoIterator<Item = u32>>(numbers: I) -> Self {
        Self(numbers.into_iter().collect())
    }
}

impl Serialize for TaskSet {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match self.bits() {
            Some(bits) => bits.serialize(serializer),
            None => self.0.serialize(serializer),
        }
    }
}

impl<'de> Deserialize<'de> for TaskSet {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let bits = match Stored::deserialize(deserializer)? {
            Stored::Ranges(ranges) => return Ok(Self(ranges)),
            Stored::Bits(text) => STANDARD.decode(text).map_err(serde::de::Error::custom)?,
        };
        let numbers = (0u32..).zip(&bits).flat_map(|(position, byte)| {
            let set = (0..8).filter(move |bit| byte & (1 << bit) != 0);
            set.map(move |bit| position * 8 + bit)
        });
        Ok(numbers.collect())
    }
}
