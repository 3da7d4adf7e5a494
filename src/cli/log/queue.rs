use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use flexi_logger::DeferredNow;
use flexi_logger::writers::LogWriter;
use log::Record;

use super::write_line;
use crate::clock;
use crate::telemetry::Limit;

/// Lines that wait for a reader; more are left out, so that logging never blocks.
const WAITING: usize = 4_096;

/// Longest wait for the last lines at the end of the process.
const FLUSH_WITHIN: Duration = Duration::from_millis(300);

/// What the thread that writes is told.
enum Message {
    Line(Vec<u8>),
    /// All lines before this one are to be written; the sender waits for it.
    Flush(SyncSender<()>),
}

/// Writes lines to standard output from a thread of its own.
pub(super) struct Queue {
    sender: SyncSender<Message>,
    limit: Mutex<Limit>,
    dropped: AtomicU64,
}

impl Queue {
    /// Starts the thread that writes; it ends with the process.
    pub(super) fn start() -> std::io::Result<Self> {
        let (sender, receiver) = sync_channel(WAITING);
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_all(&receiver))?;
        Ok(Self {
            sender,
            limit: Mutex::default(),
            dropped: AtomicU64::new(0),
        })
    }

    fn send(&self, line: Vec<u8>) {
        if self.sender.try_send(Message::Line(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            metrics::counter!("log_lines_dropped_total").increment(1);
        }
    }
}

impl LogWriter for Queue {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
        let event = record.key_values().get("event".into());
        let event = event.map_or_else(|| record.target().to_owned(), |event| event.to_string());
        let mut limit = self.limit.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(suppressed) = limit.admit(&event, record.level(), clock::now()) else {
            return Ok(());
        };
        drop(limit);
        let mut line = Vec::with_capacity(256);
        write_line(&mut line, now, record)?;
        if suppressed > 0 {
            write!(line, " suppressed={suppressed}")?;
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            write!(line, " dropped={dropped}")?;
        }
        line.push(b'\n');
        self.send(line);
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        let (done, written) = sync_channel(1);
        if self.sender.try_send(Message::Flush(done)).is_ok() {
            // A reader that does not read must not hold up the end of the process.
            let _ = written.recv_timeout(FLUSH_WITHIN);
        }
        Ok(())
    }

    fn shutdown(&self) {
        // The process ends; there is nobody left to tell of an error.
        let _ = self.flush();
    }
}

/// Writes what waits and flushes when nothing more does, so that a burst takes few system calls.
fn write_all(receiver: &Receiver<Message>) {
    let mut out = std::io::BufWriter::new(std::io::stdout().lock());
    while let Ok(message) = receiver.recv() {
        // A reader that is gone reads no line that says so.
        let _ = write_one(&mut out, message);
        while let Ok(message) = receiver.try_recv() {
            let _ = write_one(&mut out, message);
        }
        let _ = out.flush();
    }
}

fn write_one(out: &mut impl Write, message: Message) -> std::io::Result<()> {
    match message {
        Message::Line(line) => out.write_all(&line),
        Message::Flush(done) => {
            let flushed = out.flush();
            let _ = done.try_send(());
            flushed
        }
    }
}
