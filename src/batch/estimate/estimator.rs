use std::sync::Arc;
use std::time::Duration;

use slotmap::SlotMap;

use super::image::Image;
use super::{CHANGE, Error, Estimates, Forecast, ImageKey, Observation};
use crate::clock::Instant;
use crate::collections::Map;

/// Number of images that are kept; the one that ended a run longest ago gives way.
const MAX_IMAGES: usize = 256;

/// Longest name of an image that is kept, in bytes.
const MAX_NAME_BYTES: usize = 200;

/// Largest size of the stored form in bytes. A row of the store holds 64 KiB.
const MAX_STORED_BYTES: usize = 24_000;

/// Bytes of the numbers of an image in the stored form.
const STORED_NUMBERS_BYTES: usize = 50;

/// Least time between two writes of the stored form.
const STORE_INTERVAL: Duration = Duration::from_secs(5);

/// Binary logarithm of the factor, about 1.2, by which the run time of an image must change to be
/// stored again.
const STORED_CHANGE: f32 = 0.25;

/// Learns how long tasks run, from the runs of each image.
///
/// ```
/// use std::time::Duration;
/// use coriandernotch::batch::{WorkerKey, estimate::{Estimator, Observation}};
///
/// let mut estimator = Estimator::default();
/// let declared = Duration::from_secs(1);
/// let took = Duration::from_secs(4);
/// let worker = WorkerKey::default();
/// (0..3).for_each(|_| estimator.observe(&"resize".into(), Observation { declared, took, worker }));
/// let key = estimator.key("resize");
/// assert_eq!(estimator.forecast(key, declared).expected.as_secs_f64().round(), 4.0);
/// assert_eq!(estimator.forecast(None, declared).expected, declared);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    images: SlotMap<ImageKey, Image>,
    names: Map<Arc<str>, ImageKey>,
    error: Error,
    /// Number of observations.
    observations: u64,
    /// Whether the stored form is outdated, and when it was last taken.
    outdated: bool,
    taken_at: Option<Instant>,
}

impl Estimator {
    /// Returns the key of an image of which a run has ended.
    pub fn key(&self, image: &str) -> Option<ImageKey> {
        self.names.get(image).copied()
    }

    /// Returns the number of known images.
    pub fn image_count(&self) -> usize {
        self.images.len()
    }

    /// Returns the errors of declared and learned times.
    pub fn error(&self) -> Error {
        self.error
    }

    /// Returns how long a task with a declared run time is expected to run. Without a known image,
    /// that is the declared time.
    pub fn forecast(&self, key: Option<ImageKey>, declared: Duration) -> Forecast {
        let image = key.and_then(|key| self.images.get(key));
        image.map_or_else(
            || Forecast::declared(declared),
            |image| image.forecast(declared),
        )
    }

    /// Learns from a run of an image.
    pub fn observe(&mut self, image: &Arc<str>, observation: Observation) {
        if image.is_empty() || image.len() > MAX_NAME_BYTES {
            return;
        }
        let key = self.key(image).unwrap_or_else(|| self.insert(image));
        let Observation { declared, took, .. } = observation;
        let expected = self.images[key].forecast(declared).expected;
        self.error.record(declared, expected, took);
        self.observations += 1;
        let image = &mut self.images[key];
        image.used = self.observations;
        let changed = image.add(observation.into());
        let middle = image.middle();
        let differs = |known: Option<f32>, by: f32| known.is_none_or(|k| (k - middle).abs() > by);
        self.outdated |= differs(image.stored, STORED_CHANGE);
        if changed || differs(image.logged, CHANGE) {
            image.logged = Some(middle);
            let declared_ms = declared.as_millis();
            log::info!(event = "estimate-changed", image = image.name, runs = image.runs(),
                declared_ms, expected_ms = image.forecast(declared).expected.as_millis(),
                tasks_changed = changed; "");
        }
    }

    fn insert(&mut self, name: &Arc<str>) -> ImageKey {
        if self.images.len() >= MAX_IMAGES {
            let oldest = self.images.iter().min_by_key(|(_, image)| image.used);
            if let Some(oldest) = oldest.map(|(key, _)| key) {
                self.remove(oldest);
            }
        }
        let key = self.images.insert(Image::new(name.clone()));
        self.names.insert(name.clone(), key);
        key
    }

    fn remove(&mut self, key: ImageKey) {
        if let Some(image) = self.images.remove(key) {
            self.names.remove(&image.name);
        }
    }

    /// Returns the stored form if it has changed enough since it was last stored, at most once in
    /// [`STORE_INTERVAL`].
    ///
    /// It counts as stored with this call. If the write fails, the next one that follows a change
    /// contains it as well.
    pub fn take_outdated(&mut self, now: Instant) -> Option<Estimates> {
        let is_due = (self.taken_at).is_none_or(|at| now.since(at) >= STORE_INTERVAL);
        if !self.outdated || !is_due {
            return None;
        }
        (self.outdated, self.taken_at) = (false, Some(now));
        for image in self.images.values_mut() {
            image.stored = Some(image.middle());
        }
        Some(self.estimates())
    }

    /// Records that the form that was taken last may not be stored.
    pub fn record_unstored(&mut self) {
        self.outdated = true;
    }

    /// Returns the stored form: the images that were used last, as many as fit.
    pub fn estimates(&self) -> Estimates {
        let mut images: Vec<&Image> = self.images.values().collect();
        images.sort_by_key(|image| std::cmp::Reverse(image.used));
        let mut bytes = 0;
        let fits = |image: &&&Image| {
            bytes += escaped_len(&image.name) + STORED_NUMBERS_BYTES;
            bytes <= MAX_STORED_BYTES
        };
        let images = images.iter().take_while(fits);
        Estimates {
            images: images.map(|image| image.row()).collect(),
        }
    }

    /// Takes over what an earlier leader has stored.
    pub fn restore(&mut self, estimates: &Estimates) {
        let rows = estimates.images.iter().take(MAX_IMAGES);
        // The image that was used last gets the highest number.
        for row in rows.rev() {
            if row.0.is_empty() || row.0.len() > MAX_NAME_BYTES || row.1 == 0 {
                continue;
            }
            let key = self.key(&row.0).unwrap_or_else(|| self.insert(&row.0));
            self.observations += 1;
            let mut image = Image::restored(row);
            image.used = self.observations;
            self.images[key] = image;
        }
    }
}

/// Returns an upper bound on the length of a text in JSON, in bytes.
fn escaped_len(text: &str) -> usize {
    let len = |byte: u8| match byte {
        b'"' | b'\\' => 2,
        byte if byte.is_ascii_control() => 6,
        _ => 1,
    };
    text.bytes().map(len).sum()
}
