mod queue;

use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle};
use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Record};

/// Starts logging to standard output, one line of key=value pairs for each event. Repeated events
/// are bounded, and a reader that does not read never blocks the process.
pub(super) fn start_to_stdout(level: LevelFilter) -> Result<LoggerHandle, FlexiLoggerError> {
    let queue = queue::Queue::start().map_err(FlexiLoggerError::OutputIo)?;
    let logger = Logger::with(flexi_logger::LogSpecification::trace())
        .log_to_writer(Box::new(queue))
        .start()?;
    log::set_max_level(level);
    Ok(logger)
}

/// Starts logging to standard error, one line of key=value pairs for each event.
pub(super) fn start(level: LevelFilter) -> Result<LoggerHandle, FlexiLoggerError> {
    // The level is set at run time by the maximum of the log crate, so the logger takes all.
    let logger = Logger::with(flexi_logger::LogSpecification::trace())
        .format(write_line)
        .start()?;
    log::set_max_level(level);
    Ok(logger)
}

fn write_line(
    out: &mut dyn std::io::Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> std::io::Result<()> {
    let level = record.level().as_str().to_ascii_lowercase();
    write!(out, "time={} level={level}", now.format_rfc3339())?;
    let mut pairs = Pairs(String::new());
    record
        .key_values()
        .visit(&mut pairs)
        .map_err(std::io::Error::other)?;
    write!(out, "{}", pairs.0)?;
    let text = record.args().to_string();
    if text.is_empty() {
        Ok(())
    } else {
        write!(out, " text={}", quote(&text))
    }
}

/// Key=value pairs with a space before each.
struct Pairs(String);

impl<'kvs> VisitSource<'kvs> for Pairs {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.0
            .push_str(&format!(" {key}={}", quote(&value.to_string())));
        Ok(())
    }
}

/// Quotes a value that would not be one word.
fn quote(value: &str) -> String {
    let plain = !value.is_empty() && !value.contains([' ', '"', '=', '\n', '\t', '\\']);
    if plain {
        value.to_owned()
    } else {
        format!("{value:?}")
    }
}
