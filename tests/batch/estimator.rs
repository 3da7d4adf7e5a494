//! Learning of run times, without an engine.

use std::sync::Arc;
use std::time::Duration;

use coriandernotch::batch::WorkerKey;
use coriandernotch::batch::estimate::{Estimates, Estimator, Forecast, Observation};
use coriandernotch::clock::Instant;
use slotmap::SlotMap;

/// Largest row of the store.
const MAX_ROW_BYTES: usize = 64 * 1024;

const IMAGE: &str = "resize";
const WORKSPACE: &str = "media";

/// An estimator with the workers whose runs teach it.
struct Pupil {
    estimator: Estimator,
    workers: Vec<WorkerKey>,
    runs: usize,
}

impl Pupil {
    fn new(workers: usize) -> Self {
        let mut keys: SlotMap<WorkerKey, ()> = SlotMap::with_key();
        Self {
            estimator: Estimator::default(),
            workers: (0..workers).map(|_| keys.insert(())).collect(),
            runs: 0,
        }
    }

    /// Ends a run on the workers in turn.
    fn end(&mut self, declared_ms: u64, took_ms: u64) {
        let worker = self.runs % self.workers.len();
        self.end_on(worker, IMAGE, declared_ms, took_ms);
    }

    fn end_on(&mut self, worker: usize, image: &str, declared_ms: u64, took_ms: u64) {
        self.end_in(WORKSPACE, worker, image, declared_ms, took_ms);
    }

    fn end_in(
        &mut self,
        workspace: &str,
        worker: usize,
        image: &str,
        declared_ms: u64,
        took_ms: u64,
    ) {
        self.runs += 1;
        let observation = Observation {
            declared: Duration::from_millis(declared_ms),
            took: Duration::from_millis(took_ms),
            worker: self.workers[worker],
        };
        let (workspace, image) = (workspace.into(), image.into());
        self.estimator.observe(&workspace, &image, observation);
    }

    fn forecast(&self, declared_ms: u64) -> Forecast {
        forecast(&self.estimator, IMAGE, declared_ms)
    }

    /// Returns the expected time as a multiple of the real one.
    fn error(&self, declared_ms: u64, real_ms: u64) -> f64 {
        self.forecast(declared_ms).expected.as_secs_f64() * 1_000.0 / real_ms as f64
    }
}

fn forecast(estimator: &Estimator, image: &str, declared_ms: u64) -> Forecast {
    forecast_in(estimator, WORKSPACE, image, declared_ms)
}

fn forecast_in(estimator: &Estimator, workspace: &str, image: &str, declared_ms: u64) -> Forecast {
    let key = estimator.key(workspace, image);
    estimator.forecast(key, Duration::from_millis(declared_ms))
}

/// Returns the workspace of the image with a number. None has as many as it may.
fn workspace_of(number: usize) -> String {
    format!("workspace-{}", number % 5)
}

fn is_close(factor: f64, tolerance: f64) -> bool {
    factor < tolerance && factor > 1.0 / tolerance
}

/// Guards against a guess where nothing is known: the declared time holds until a run has ended.
#[test]
fn expects_the_declared_time_of_an_unknown_image() {
    let pupil = Pupil::new(1);
    let declared = Duration::from_millis(1_234);
    assert_eq!(pupil.forecast(1_234), Forecast::declared(declared));
}

/// Guards against a single odd run that replaces the declared time.
#[test]
fn moves_only_part_of_the_way_after_one_run() {
    let mut pupil = Pupil::new(1);
    pupil.end(1_000, 8_000);
    assert!((1.5..2.5).contains(&pupil.error(1_000, 1_000)));
}

/// Guards against estimates that stay off for long after declared times that are off by 0.2 to 0.9
/// of themselves.
#[test]
fn learns_an_image_within_three_runs() {
    for real_ms in [100, 200, 500, 800, 1_200, 1_500, 1_900, 5_000] {
        let mut pupil = Pupil::new(3);
        (0..3).for_each(|_| pupil.end(1_000, real_ms));
        let error = pupil.error(1_000, real_ms);
        assert!(is_close(error, 1.02), "{real_ms} ms: {error}");
    }
}

/// Guards against odd runs that move the estimate: disturbed ones that take long, and ones that end
/// early because they had nothing to do.
#[test]
fn bears_a_fifth_of_odd_runs() {
    for odd_ms in [100, 8_000] {
        for first in 0..5 {
            let mut pupil = Pupil::new(7);
            for run in 0..200 {
                let usual_ms = 900 + (run * 37) % 200;
                let is_odd = run % 5 == first;
                pupil.end(400, if is_odd { odd_ms } else { usual_ms });
                let error = pupil.error(400, 1_000);
                assert!(
                    run < 4 || is_close(error, 1.2),
                    "odd runs of {odd_ms} ms from {first}, run {run}: {error}"
                );
            }
            assert!(pupil.forecast(400).tail < Duration::from_millis(1_400));
        }
    }
}

/// Guards against a slow worker whose runs teach that the image is long, also if it is the only one
/// that ends runs for a while.
#[test]
fn a_slow_worker_does_not_teach_that_an_image_is_long() {
    let mut pupil = Pupil::new(5);
    for run in 0..50 {
        pupil.end(1_000, if run % 5 == 4 { 6_000 } else { 1_000 });
    }
    assert!(is_close(pupil.error(1_000, 1_000), 1.05));
    (0..50).for_each(|_| pupil.end_on(4, IMAGE, 1_000, 6_000));
    assert!(is_close(pupil.error(1_000, 1_000), 1.05));
}

/// Guards against the times of an earlier version of the tasks that hold for long.
#[test]
fn follows_a_change_of_the_tasks_within_a_few_runs() {
    for (before_ms, after_ms) in [(1_000, 4_000), (4_000, 1_000), (1_000, 1_800)] {
        let mut pupil = Pupil::new(4);
        (0..40).for_each(|_| pupil.end(2_000, before_ms));
        assert!(is_close(pupil.error(2_000, before_ms), 1.05));
        (0..4).for_each(|_| pupil.end(2_000, after_ms));
        let error = pupil.error(2_000, after_ms);
        assert!(is_close(error, 1.05), "{before_ms} to {after_ms}: {error}");
    }
}

/// Guards against an image on one worker that is never learned anew.
#[test]
fn follows_a_change_on_a_single_worker() {
    let mut pupil = Pupil::new(1);
    (0..40).for_each(|_| pupil.end(2_000, 1_000));
    (0..4).for_each(|_| pupil.end(2_000, 4_000));
    assert!(is_close(pupil.error(2_000, 4_000), 1.05));
}

/// Guards against one duration for tasks of different size: declared times that are off by a
/// constant ratio tell them apart.
#[test]
fn scales_declared_times_that_are_off_by_a_constant_ratio() {
    let mut pupil = Pupil::new(4);
    for declared_ms in [1_000, 4_000, 500, 9_000, 2_000, 700, 3_000] {
        pupil.end(declared_ms, declared_ms * 2);
    }
    assert!(is_close(pupil.error(600, 1_200), 1.05));
    assert!(is_close(pupil.error(8_000, 16_000), 1.05));
}

/// Guards against scaling declared times that say nothing, while all runs take the same time.
#[test]
fn expects_the_same_duration_if_declared_times_differ_at_random() {
    let mut pupil = Pupil::new(4);
    for declared_ms in [1_000, 4_000, 500, 9_000, 2_000, 700, 3_000] {
        pupil.end(declared_ms, 2_000);
    }
    assert!(is_close(pupil.error(600, 2_000), 1.05));
    assert!(is_close(pupil.error(8_000, 2_000), 1.05));
}

/// Guards against memory that grows with the images that callers name, and against the loss of one
/// that is in use.
#[test]
fn keeps_a_bounded_number_of_images() {
    let mut pupil = Pupil::new(2);
    for number in 0..2_000 {
        pupil.end(1_000, 3_000);
        let workspace = workspace_of(number);
        pupil.end_in(&workspace, 0, &format!("other-{number}"), 1_000, 2_000);
        pupil.end_on(0, &"x".repeat(100_000), 1_000, 2_000);
        pupil.end_in(&"x".repeat(100_000), 0, IMAGE, 1_000, 2_000);
    }
    assert_eq!(pupil.estimator.image_count(), 256);
    assert!(is_close(pupil.error(1_000, 3_000), 1.05));
    let key = |number| {
        pupil
            .estimator
            .key(&workspace_of(number), &format!("other-{number}"))
    };
    assert_eq!(key(1_700), None);
    assert!(key(1_999).is_some());
}

/// Guards against a workspace with many images that takes the place of those of all others.
#[test]
fn a_workspace_takes_a_quarter_of_the_images() {
    let mut pupil = Pupil::new(2);
    (0..4).for_each(|_| pupil.end(1_000, 3_000));
    for number in 0..1_000 {
        let image = format!("other-{number}");
        (0..4).for_each(|run| pupil.end_in("large", run % 2, &image, 1_000, 2_000));
    }
    assert_eq!(pupil.estimator.image_count(), 1 + 64);
    assert!(is_close(pupil.error(1_000, 3_000), 1.05));
    assert!(pupil.estimator.key("large", "other-999").is_some());
}

/// Guards against callers who name a new image with each job and so replace the ones in use.
#[test]
fn an_image_with_few_runs_gives_way_first() {
    let mut pupil = Pupil::new(2);
    (0..4).for_each(|_| pupil.end(1_000, 3_000));
    for number in 0..2_000 {
        let workspace = workspace_of(number);
        pupil.end_in(&workspace, 0, &format!("other-{number}"), 1_000, 2_000);
    }
    assert_eq!(pupil.estimator.image_count(), 256);
    assert!(is_close(pupil.error(1_000, 3_000), 1.05));
    assert_eq!(pupil.estimator.estimates().images.len(), 1);
}

/// Guards against a workspace that teaches wrong run times for an image of another one.
#[test]
fn learns_the_images_of_each_workspace_separately() {
    let mut pupil = Pupil::new(2);
    (0..4).for_each(|run| pupil.end_in("other", run % 2, IMAGE, 1_000, 9_000));
    assert_eq!(pupil.forecast(1_000).expected, Duration::from_secs(1));
    (0..4).for_each(|_| pupil.end(1_000, 3_000));
    assert!(is_close(pupil.error(1_000, 3_000), 1.05));
    let other = forecast_in(&pupil.estimator, "other", IMAGE, 1_000);
    assert!(is_close(other.expected.as_secs_f64() / 9.0, 1.05));
}

/// Guards against a forecast of some milliseconds for a task that declares no run time, whatever its
/// image takes.
#[test]
fn learns_images_without_a_declared_time() {
    for took_ms in [5, 300, 5_000, 600_000] {
        let mut pupil = Pupil::new(2);
        (0..4).for_each(|_| pupil.end(0, took_ms));
        assert!(is_close(pupil.error(0, took_ms), 1.05), "{took_ms} ms");
    }
}

/// Guards against a successor that starts from declared times although its predecessor knew better,
/// and against a stored form that does not fit into a row of the store.
#[test]
fn keeps_forecasts_in_a_row_of_the_store() {
    let mut pupil = Pupil::new(4);
    let names: Vec<String> = (0..256)
        .map(|number| format!("registry/team/image:{number}"))
        .collect();
    for (number, name) in names.iter().enumerate() {
        let (workspace, factor) = (workspace_of(number), number as u64 + 1);
        for run in 0..8 {
            let took_ms = 40 * factor + 7 * run as u64;
            pupil.end_in(&workspace, run % 4, name, 10_000, took_ms);
        }
    }
    let row = serde_json::to_vec(&pupil.estimator.estimates()).unwrap();
    println!("{} bytes", row.len());
    assert!(row.len() < MAX_ROW_BYTES / 2);
    let estimates: Estimates = serde_json::from_slice(&row).unwrap();
    let mut restored = Estimator::default();
    restored.restore(&estimates);
    assert_eq!(restored.image_count(), 256);
    for (number, name) in names.iter().enumerate() {
        let workspace = workspace_of(number);
        let before = forecast_in(&pupil.estimator, &workspace, name, 10_000);
        let after = forecast_in(&restored, &workspace, name, 10_000);
        let factor = after.expected.as_secs_f64() / before.expected.as_secs_f64();
        assert!(is_close(factor, 1.03), "{name}: {before:?}, {after:?}");
        let factor = after.tail.as_secs_f64() / before.tail.as_secs_f64();
        assert!(is_close(factor, 1.03), "{name}: {before:?}, {after:?}");
    }
    assert_eq!(
        restored.estimates().images[0].1,
        pupil.estimator.estimates().images[0].1
    );
}

/// Guards against names that do not fit into a row of the store once they are escaped.
#[test]
fn stores_the_images_that_fit() {
    for letter in ["\u{1}", "\"", "x", "é"] {
        let mut pupil = Pupil::new(1);
        for number in 0..256 {
            let name = format!("{}{number}", letter.repeat(90));
            let workspace = workspace_of(number);
            (0..3).for_each(|_| pupil.end_in(&workspace, 0, &name, 1, 1_000_000_000));
        }
        let estimates = pupil.estimator.estimates();
        assert!(!estimates.images.is_empty());
        assert!(serde_json::to_vec(&estimates).unwrap().len() < MAX_ROW_BYTES / 2);
        assert!(
            estimates.images[0].1.ends_with("255"),
            "the latest comes first"
        );
    }
}

/// Guards against a row that another writer left odd and that makes estimates useless or a leader
/// fail.
#[test]
fn bounds_what_an_odd_row_says() {
    let extremes = [
        [i16::MIN; 3],
        [i16::MAX; 3],
        [i16::MAX, 0, i16::MIN],
        [0; 3],
    ];
    for durations in extremes {
        for ratios in extremes {
            for runs in [0, 1, u32::MAX] {
                let row = serde_json::json!({"images": [["", "", 3, durations, ratios],
                    [WORKSPACE, IMAGE, runs, durations, ratios],
                    [WORKSPACE, IMAGE, runs, durations, ratios]]});
                let estimates: Estimates = serde_json::from_value(row).unwrap();
                let mut pupil = Pupil::new(4);
                pupil.estimator.restore(&estimates);
                for declared_ms in [1, 1_000, 1 << 40] {
                    let Forecast { expected, tail } = pupil.forecast(declared_ms);
                    let declared = Duration::from_millis(declared_ms);
                    assert!(expected <= tail);
                    assert!(expected >= declared.mul_f64(0.06) && tail <= declared.mul_f64(16.1));
                }
                assert!(pupil.forecast(0).tail <= Duration::from_secs(38 * 3_600));
                (0..4).for_each(|_| pupil.end(1_000, 2_000));
                (0..4).for_each(|_| pupil.end(1_000, 2_000));
                assert!(is_close(pupil.error(1_000, 2_000), 1.1));
            }
        }
    }
}

/// Guards against a row written with every renewal, and against a change that is never stored
/// because the write failed.
#[test]
fn is_stored_only_after_a_change_and_not_too_often() {
    let at = |ms: u64| Instant::from_start(Duration::from_millis(100_000 + ms));
    let mut pupil = Pupil::new(2);
    assert_eq!(pupil.estimator.take_outdated(at(0)), None);
    (0..2).for_each(|_| pupil.end(1_000, 3_000));
    assert_eq!(pupil.estimator.take_outdated(at(0)), None, "few runs");
    pupil.end(1_000, 3_000);
    assert!(pupil.estimator.take_outdated(at(0)).is_some());
    pupil.estimator.record_unstored();
    assert_eq!(pupil.estimator.take_outdated(at(4_900)), None);
    assert!(pupil.estimator.take_outdated(at(5_000)).is_some());
    (0..100).for_each(|run| pupil.end(1_000, 2_900 + 2 * run));
    assert_eq!(pupil.estimator.take_outdated(at(20_000)), None);
    (0..20).for_each(|_| pupil.end(1_000, 9_000));
    let stored = pupil.estimator.take_outdated(at(20_000)).unwrap();
    assert_eq!(stored.images[0].1, Arc::from(IMAGE));
    assert_eq!(pupil.estimator.take_outdated(at(40_000)), None);
}
