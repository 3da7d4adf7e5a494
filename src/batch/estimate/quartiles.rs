use serde::{Deserialize, Serialize};

/// Number of stored units in a doubling. A unit is a factor of about 1.02.
const UNITS_PER_DOUBLING: f32 = 32.0;

/// Quartiles of binary logarithms. Up to a fourth of the values, if they are odd, hardly move them.
///
/// The stored form is a list of three integers.
///
/// ```
/// use coriandernotch::batch::estimate::Quartiles;
///
/// let quartiles = Quartiles::of(&mut [3.0, 1.0, 2.0, 9.0, 2.0]);
/// assert_eq!((quartiles.low, quartiles.middle, quartiles.high), (2.0, 2.0, 3.0));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "[i16; 3]", into = "[i16; 3]")]
pub struct Quartiles {
    /// Value that a fourth of the values do not exceed.
    pub low: f32,
    /// Median.
    pub middle: f32,
    /// Value that three fourths of the values do not exceed.
    pub high: f32,
}

impl Quartiles {
    /// Returns the quartiles of some values, which get sorted; zeros without values.
    pub fn of(values: &mut [f32]) -> Self {
        values.sort_by(f32::total_cmp);
        let Some(last) = values.len().checked_sub(1) else {
            return Self::default();
        };
        let at = |quarter: usize| values[(last * quarter + 2) / 4];
        Self {
            low: at(1),
            middle: at(2),
            high: at(3),
        }
    }

    /// Returns the distance of the outer quartiles.
    pub(super) fn spread(self) -> f32 {
        self.high - self.low
    }
}

impl From<[i16; 3]> for Quartiles {
    fn from(mut units: [i16; 3]) -> Self {
        // Another writer may have left them in any order.
        units.sort_unstable();
        let [low, middle, high] = units.map(|unit| f32::from(unit) / UNITS_PER_DOUBLING);
        Self { low, middle, high }
    }
}

impl From<Quartiles> for [i16; 3] {
    fn from(quartiles: Quartiles) -> Self {
        let Quartiles { low, middle, high } = quartiles;
        [low, middle, high].map(|value| (value * UNITS_PER_DOUBLING).round() as i16)
    }
}
