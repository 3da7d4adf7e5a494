use std::sync::Arc;
use std::time::Duration;

use slotmap::SlotMap;

use super::image::Image;
use super::{CHANGE, Error, Estimates, FULL_WEIGHT_RUNS, Forecast, ImageKey, Observation, Row};
use crate::clock::Instant;
use crate::collections::Map;

/// Number of images that are kept. Those with few runs give way first, then the one that ended a run
/// longest ago.
const MAX_IMAGES: usize = 256;

/// Number of images of one workspace that are kept, so that none takes the place of all others.
const MAX_IMAGES_PER_WORKSPACE: usize = MAX_IMAGES / 4;

/// Longest name of an image or workspace that is kept, in bytes.
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

/// Learns how long tasks run, from the runs of each image. Images of the same name in different
/// workspaces are learned separately.
///
/// ```
/// use std::time::Duration;
/// use coriandernotch::batch::{WorkerKey, estimate::{Estimator, Observation}};
///
/// let mut estimator = Estimator::default();
/// let declared = Duration::from_secs(1);
/// let took = Duration::from_secs(4);
/// let worker = WorkerKey::default();
/// (0..3).for_each(|_| estimator.observe(&"media".into(), &"resize".into(), Observation { declared, took, worker }));
/// let key = estimator.key("media", "resize");
/// assert_eq!(estimator.forecast(key, declared).expected.as_secs_f64().round(), 4.0);
/// assert_eq!(estimator.forecast(None, declared).expected, declared);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    images: SlotMap<ImageKey, Image>,
    /// Images of each workspace by name.
    names: Map<Arc<str>, Map<Arc<str>, ImageKey>>,
    error: Error,
    /// Number of observations.
    observations: u64,
    /// Whether the stored form is outdated, and when it was last taken.
    outdated: bool,
    taken_at: Option<Instant>,
}

impl Estimator {
    /// Returns the key of an image of a workspace of which a run has ended.
    pub fn key(&self, workspace: &str, image: &str) -> Option<ImageKey> {
        // Others are not kept, and hashing a long name takes time.
        if !is_name(workspace) || !is_name(image) {
            return None;
        }
        self.names.get(workspace)?.get(image).copied()
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

    /// Learns from a run of an image of a workspace.
    pub fn observe(&mut self, workspace: &Arc<str>, image: &Arc<str>, observation: Observation) {
        if !is_name(workspace) || !is_name(image) {
            return;
        }
        let known = self.key(workspace, image);
        let key = known.unwrap_or_else(|| self.insert(workspace, image));
        let Observation { declared, took, .. } = observation;
        let expected = self.images[key].forecast(declared).expected;
        self.error.record(declared, expected, took);
        self.observations += 1;
        let image = &mut self.images[key];
        image.used = self.observations;
        let changed = image.add(observation.into());
        if image.runs() < FULL_WEIGHT_RUNS {
            return;
        }
        let middle = image.middle();
        let differs = |known: Option<f32>, by: f32| known.is_none_or(|k| (k - middle).abs() > by);
        self.outdated |= differs(image.stored, STORED_CHANGE);
        if changed || differs(image.logged, CHANGE) {
            image.logged = Some(middle);
            let declared_ms = declared.as_millis();
            log::info!(event = "estimate-changed", workspace = image.workspace, image = image.name, runs = image.runs(),
                declared_ms, expected_ms = image.forecast(declared).expected.as_millis(),
                tasks_changed = changed; "");
        }
    }

    fn insert(&mut self, workspace: &Arc<str>, name: &Arc<str>) -> ImageKey {
        let count = self.names.get(workspace).map_or(0, Map::len);
        if count >= MAX_IMAGES_PER_WORKSPACE {
            self.evict(|image| image.workspace == *workspace);
        } else if self.images.len() >= MAX_IMAGES {
            self.evict(|_| true);
        }
        let image = Image::new(workspace.clone(), name.clone());
        let key = self.images.insert(image);
        let names = self.names.entry(workspace.clone()).or_default();
        names.insert(name.clone(), key);
        key
    }

    /// Removes one of the images that satisfy `may_go`: one with few runs before others, so that
    /// names that are used once do not replace images in use.
    fn evict(&mut self, may_go: impl Fn(&Image) -> bool) {
        let images = self.images.iter().filter(|(_, image)| may_go(image));
        let first = images.min_by_key(|(_, image)| (image.runs() >= FULL_WEIGHT_RUNS, image.used));
        if let Some(key) = first.map(|(key, _)| key) {
            self.remove(key);
        }
    }

    fn remove(&mut self, key: ImageKey) {
        let Some(image) = self.images.remove(key) else {
            return;
        };
        if let Some(names) = self.names.get_mut(&image.workspace) {
            names.remove(&image.name);
            if names.is_empty() {
                self.names.remove(&image.workspace);
            }
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
        let images = self.images.values();
        let known = images.filter(|image| image.runs() >= FULL_WEIGHT_RUNS);
        let mut images: Vec<&Image> = known.collect();
        images.sort_by_key(|image| std::cmp::Reverse(image.used));
        let mut bytes = 0;
        let fits = |image: &&&Image| {
            bytes += escaped_len(&image.workspace) + escaped_len(&image.name);
            bytes += STORED_NUMBERS_BYTES;
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
            let Row(workspace, name, runs, ..) = row;
            if !is_name(workspace) || !is_name(name) || *runs == 0 {
                continue;
            }
            let known = self.key(workspace, name);
            let key = known.unwrap_or_else(|| self.insert(workspace, name));
            self.observations += 1;
            let mut image = Image::restored(row);
            image.used = self.observations;
            self.images[key] = image;
        }
    }
}

/// Returns whether a text can be the name of a known image or workspace.
fn is_name(text: &str) -> bool {
    !text.is_empty() && text.len() <= MAX_NAME_BYTES
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
