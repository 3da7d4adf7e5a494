use std::sync::Arc;

/// One line of a log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Entry {
    /// Time as it is written: text of one length that sorts by time.
    pub time: Arc<str>,
    /// Process that wrote it.
    pub source: Arc<str>,
    /// Event.
    pub event: Arc<str>,
    /// Pairs after the event.
    pub details: Arc<str>,
}

impl Entry {
    /// Reads a line of the log `file`, or `None` when it is no event. What a collector of logs has
    /// put before the line tells the process when its last word is a name.
    ///
    /// ```
    /// use coriandernotch::explain::Entry;
    ///
    /// let line = "time=2026-12-04T10:00:00.000+00:00 level=info event=job-ended job=a1";
    /// let entry = Entry::read("e-1.log", line).unwrap();
    /// assert_eq!((&*entry.event, &*entry.details), ("job-ended", "job=a1"));
    /// assert_eq!(&*Entry::read("all.log", &format!("1.5 e-2 {line}")).unwrap().source, "e-2");
    /// assert!(Entry::read("e-1.log", "panicked").is_none());
    /// ```
    pub fn read(file: &str, line: &str) -> Option<Self> {
        let (prefix, rest) = line.split_once("time=")?;
        let (time, rest) = rest.split_once(' ')?;
        let (_, rest) = rest.split_once("event=")?;
        let (event, details) = rest.split_once(' ').unwrap_or((rest, ""));
        let source = prefix.split_whitespace().last().unwrap_or(file);
        Some(Self {
            time: time.into(),
            source: source.into(),
            event: event.into(),
            details: details.trim_end().into(),
        })
    }

    /// Returns whether the line names the request.
    pub fn names(&self, id: &str) -> bool {
        let mut words = self.details.split(' ');
        words.any(|word| word.split_once('=').is_some_and(|(_, value)| value == id))
    }

    /// Returns whether the line tells of the whole system rather than of one request.
    pub fn is_general(&self) -> bool {
        const GENERAL: [&str; 10] = [
            "instance-started",
            "instance-stopping",
            "leadership-begun",
            "leadership-ended",
            "leadership-resigned",
            "state-loaded",
            "store-lost",
            "store-regained",
            "runs-released",
            "worker-restarted",
        ];
        GENERAL.contains(&&*self.event)
    }
}
