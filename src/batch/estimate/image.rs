use std::sync::Arc;
use std::time::Duration;

use super::sample::Sample;
use super::window::Window;
use super::{
    FULL_WEIGHT_RUNS, Forecast, MAX_CORRECTION, MAX_LOG_MS, Quartiles, Row, duration_of, log_ms,
};

/// What was learned about the tasks of an image.
#[derive(Clone, Debug)]
pub(super) struct Image {
    pub(super) workspace: Arc<str>,
    pub(super) name: Arc<str>,
    window: Window,
    durations: Quartiles,
    ratios: Quartiles,
    /// Number of the latest observation of the image among those of all images.
    pub(super) used: u64,
    /// Binary logarithm of the run time that was last logged, and of the one that was last stored.
    pub(super) logged: Option<f32>,
    pub(super) stored: Option<f32>,
}

impl Image {
    pub(super) fn new(workspace: Arc<str>, name: Arc<str>) -> Self {
        Self::with_window(workspace, name, Window::default())
    }

    /// Restores an image from its stored form.
    pub(super) fn restored(row: &Row) -> Self {
        let Row(workspace, name, runs, durations, ratios) = row;
        let window = Window::restored(*durations, *ratios, *runs);
        let mut image = Self::with_window(workspace.clone(), name.clone(), window);
        (image.durations, image.ratios) = (*durations, *ratios);
        image.logged = Some(durations.middle);
        image.stored = image.logged;
        image
    }

    fn with_window(workspace: Arc<str>, name: Arc<str>, window: Window) -> Self {
        Self {
            workspace,
            name,
            window,
            durations: Quartiles::default(),
            ratios: Quartiles::default(),
            used: 0,
            logged: None,
            stored: None,
        }
    }

    /// Returns the stored form.
    pub(super) fn row(&self) -> Row {
        let runs = u32::try_from(self.window.len()).unwrap_or(u32::MAX);
        Row(
            self.workspace.clone(),
            self.name.clone(),
            runs,
            self.durations,
            self.ratios,
        )
    }

    /// Adds a run. Returns whether the tasks of the image have changed.
    pub(super) fn add(&mut self, sample: Sample) -> bool {
        let changed = if self.is_proportional() {
            self.window.add(sample, |sample| sample.ratio)
        } else {
            self.window.add(sample, |sample| sample.duration)
        };
        self.durations = self.window.durations();
        self.ratios = self.window.ratios();
        changed
    }

    pub(super) fn runs(&self) -> usize {
        self.window.len()
    }

    /// Returns the binary logarithm of the median run time in milliseconds.
    pub(super) fn middle(&self) -> f32 {
        self.durations.middle
    }

    /// Returns whether run times follow the declared ones more closely than they follow each other.
    fn is_proportional(&self) -> bool {
        self.ratios.spread() <= self.durations.spread()
    }

    /// Returns the forecast for a task with a declared run time.
    pub(super) fn forecast(&self, declared: Duration) -> Forecast {
        let declared_log = log_ms(declared);
        let quartiles = if self.is_proportional() {
            self.ratios
        } else {
            Quartiles {
                low: self.durations.low - declared_log,
                middle: self.durations.middle - declared_log,
                high: self.durations.high - declared_log,
            }
        };
        let weight = self.window.len().min(FULL_WEIGHT_RUNS) as f32 / FULL_WEIGHT_RUNS as f32;
        // Without a declared time, there is nothing that a learned one could be far from.
        let max_correction = if declared.is_zero() {
            MAX_LOG_MS
        } else {
            MAX_CORRECTION
        };
        let estimate = |correction: f32| {
            let correction = correction.clamp(-max_correction, max_correction);
            duration_of(declared_log + weight * correction)
        };
        Forecast {
            expected: estimate(quartiles.middle),
            tail: estimate(quartiles.high),
        }
    }
}
