//! Run times learned from ended runs, for each image.
//!
//! An [`Estimator`] knows neither jobs nor workers beyond their keys. The engine tells it how long
//! runs took and asks how long a task of an image will take; without enough runs, or without an
//! image, the answer is the declared run time.

mod error;
mod estimates;
mod estimator;
mod forecast;
mod image;
mod image_key;
mod observation;
mod quartiles;
mod sample;
mod window;

pub use error::Error;
pub use estimates::{Estimates, Row};
pub use estimator::Estimator;
pub use forecast::Forecast;
pub use image_key::ImageKey;
pub use observation::Observation;
pub use quartiles::Quartiles;

use std::time::Duration;

/// Number of runs from which the learned time replaces the declared one. With fewer, the estimate
/// lies between the two, so that a single odd run does not decide.
const FULL_WEIGHT_RUNS: usize = 3;

/// Binary logarithm of the largest factor between a learned and a declared time.
const MAX_CORRECTION: f32 = 4.0;

/// Binary logarithm of the longest run time, in milliseconds, that is expected of a task without a
/// declared one: about 37 hours.
const MAX_LOG_MS: f32 = 27.0;

/// Binary logarithm of the smallest factor, 1.5, by which runs must differ from earlier ones to
/// count as changed.
const CHANGE: f32 = 0.585;

/// Returns the binary logarithm of a duration in milliseconds, which is at least 0.
fn log_ms(duration: Duration) -> f32 {
    (duration.as_secs_f64() * 1_000.0).max(1.0).log2() as f32
}

/// Returns the duration for a binary logarithm of milliseconds.
fn duration_of(log_ms: f32) -> Duration {
    Duration::from_secs_f64(f64::from(log_ms).exp2() / 1_000.0)
}
