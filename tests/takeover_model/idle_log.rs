//! Keeps the latest log line about each lasting task without a run.

use std::cell::RefCell;
use std::fmt::Write;
use std::sync::{Arc, Once};

use coriandernotch::batch::TaskId;
use coriandernotch::collections::Map;
use log::kv::{self, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};

/// Event that the lines are about.
const EVENT: &str = "task-idle";

thread_local! {
    /// Latest line about each task in the simulation that runs on this thread.
    static LINES: RefCell<Map<TaskId, String>> = RefCell::default();
}

/// Discards the lines of an earlier simulation on this thread.
pub(crate) fn begin() {
    static INSTALLED: Once = Once::new();
    INSTALLED.call_once(|| {
        log::set_logger(&IdleLog).expect("no other logger");
        log::set_max_level(LevelFilter::Warn);
    });
    LINES.with_borrow_mut(Map::clear);
}

/// Returns the latest line about a task, or an empty text.
pub(crate) fn latest_line(task: &TaskId) -> String {
    LINES.with_borrow(|lines| lines.get(task).cloned().unwrap_or_default())
}

struct IdleLog;

impl Log for IdleLog {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let values = record.key_values();
        let event = values.get("event".into());
        if event.is_none_or(|event| event.to_borrowed_str() != Some(EVENT)) {
            return;
        }
        let mut line = Line::default();
        if values.visit(&mut line).is_ok() {
            LINES.with_borrow_mut(|lines| lines.insert(line.task(), line.text));
        }
    }

    fn flush(&self) {}
}

/// The task that a line is about, and the other values as text.
#[derive(Default)]
struct Line {
    job: Arc<str>,
    step: u32,
    index: u32,
    text: String,
}

impl Line {
    fn task(&self) -> TaskId {
        TaskId {
            job: self.job.clone(),
            occurrence: 0,
            step: self.step,
            index: self.index,
        }
    }
}

impl<'kvs> VisitSource<'kvs> for Line {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let number = value.to_u64().unwrap_or_default() as u32;
        match key.as_str() {
            "event" => {}
            "job" => self.job = value.to_string().into(),
            "step" => self.step = number,
            "index" => self.index = number,
            name => write!(self.text, "{name}={value} ")?,
        }
        Ok(())
    }
}
