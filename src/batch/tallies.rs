use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Serialize};

/// Number of different digits, so that the digits of 100,000 tasks fit into a row: 18 of them are
/// stored in 64 bits.
const BASE: u64 = 11;

/// Number of digits that fit into 64 bits.
const DIGITS_PER_WORD: usize = u64::MAX.ilog(BASE) as usize;

/// The state of each task as one digit, for progress that does not fit into a row with the numbers of
/// the failed runs: 0 to 9 for the failures of a task that has not succeeded, the last digit for one
/// that has.
///
/// Numbers of failures above 9 are rounded up to a multiple of `unit`, so that a task never gets more
/// attempts than it may have.
///
/// ```
/// use coriandernotch::batch::Tallies;
///
/// let tallies = Tallies::new(&[Some(0), None, Some(9), Some(1)]);
/// assert_eq!(tallies.tasks(4), [Some(0), None, Some(9), Some(1)]);
/// let rounded = Tallies::new(&[Some(0), Some(11), Some(18)]);
/// assert_eq!(rounded.tasks(3), [Some(0), Some(12), Some(18)]);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Tallies {
    /// Number of failures for which a digit counts.
    unit: u64,
    /// Words of 64 bits in Base64, the first byte of each the lowest; the first task has the lowest
    /// digit of a word.
    digits: String,
}

impl Tallies {
    /// Returns the largest size in bytes of the digits of some tasks.
    pub(super) fn max_bytes(tasks: usize) -> usize {
        let bytes = tasks
            .div_ceil(DIGITS_PER_WORD)
            .saturating_mul(size_of::<u64>());
        bytes.div_ceil(3).saturating_mul(4)
    }

    /// Encodes the number of failures of each task; `None` for a task that has succeeded.
    ///
    /// See [`Tallies`] for an example.
    pub fn new(tasks: &[Option<u64>]) -> Self {
        let most = tasks.iter().flatten().max().copied().unwrap_or_default();
        let unit = most.div_ceil(BASE - 2).max(1);
        let digit = |task: &Option<u64>| task.map_or(BASE - 1, |count| count.div_ceil(unit));
        let word = |tasks: &[Option<u64>]| {
            let digits = tasks.iter().rev().map(digit);
            digits.fold(0u64, |word, digit| word * BASE + digit)
        };
        let words = tasks.chunks(DIGITS_PER_WORD).map(word);
        let bytes: Vec<u8> = words.flat_map(u64::to_le_bytes).collect();
        Self {
            unit,
            digits: STANDARD.encode(bytes),
        }
    }

    /// Decodes the number of failures of the first `count` tasks; `None` for a task that has
    /// succeeded.
    ///
    /// See [`Tallies`] for an example.
    pub fn tasks(&self, count: usize) -> Vec<Option<u64>> {
        let bytes = STANDARD.decode(&self.digits).unwrap_or_default();
        let words = bytes.chunks_exact(8).map(|word| {
            let word = word.try_into().expect("a chunk has 8 bytes");
            u64::from_le_bytes(word)
        });
        let digits = words.flat_map(|mut word| {
            (0..DIGITS_PER_WORD).map(move |_| {
                let digit = word % BASE;
                word /= BASE;
                digit
            })
        });
        let task = |digit: u64| (digit != BASE - 1).then(|| digit.saturating_mul(self.unit));
        digits.take(count).map(task).collect()
    }
}
