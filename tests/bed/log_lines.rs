//! Log lines of entry instances that run in the process of a test.

use std::sync::LazyLock;
use std::time::Instant;

use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};

static START: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Prints the log lines of this process from now on. The test harness captures them together with
/// the output of the test and shows them only if it fails.
pub(crate) fn print_lines() {
    LazyLock::force(&START);
    // Fails for all but the first test of the process.
    if log::set_logger(&Printer).is_ok() {
        log::set_max_level(LevelFilter::Info);
    }
}

struct Printer;

impl Log for Printer {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.target().starts_with("coriandernotch")
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let mut pairs = Pairs(String::new());
        // Visiting pairs that are written to a string does not fail.
        let _ = record.key_values().visit(&mut pairs);
        let seconds = START.elapsed().as_secs_f64();
        println!("{seconds:.3} {}{}", record.level(), pairs.0);
    }

    fn flush(&self) {}
}

/// Pairs of a key and a value, with a space before each.
struct Pairs(String);

impl<'kvs> VisitSource<'kvs> for Pairs {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.0.push_str(&format!(" {key}={value}"));
        Ok(())
    }
}
