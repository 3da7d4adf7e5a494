use std::fmt;
use std::sync::Arc;

use super::Entry;

/// What logs tell of one request, in order of time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Timeline {
    id: Arc<str>,
    entries: Vec<Entry>,
}

impl Timeline {
    /// Gathers the lines that name the request, and those about the whole system between the first
    /// and the last of them.
    ///
    /// ```
    /// use coriandernotch::explain::Timeline;
    ///
    /// let log = "time=T1 level=info event=job-submitted job=a1 result=Stored\n\
    ///            time=T2 level=info event=leadership-begun token=2\n\
    ///            time=T3 level=info event=job-ended job=a1 state=completed\n\
    ///            time=T4 level=info event=leadership-begun token=3\n";
    /// let timeline = Timeline::gather("a1", [("e-1", log)]);
    /// assert_eq!(timeline.to_string().lines().count(), 3);
    /// ```
    pub fn gather<'a>(id: &str, logs: impl IntoIterator<Item = (&'a str, &'a str)>) -> Self {
        let mut entries: Vec<Entry> = Vec::new();
        for (file, text) in logs {
            let lines = text.lines().filter_map(|line| Entry::read(file, line));
            entries.extend(lines.filter(|entry| entry.names(id) || entry.is_general()));
        }
        entries.sort();
        let first = entries.iter().position(|entry| entry.names(id));
        let last = entries.iter().rposition(|entry| entry.names(id));
        let entries = match (first, last) {
            (Some(first), Some(last)) => entries.drain(first..=last).collect(),
            _ => Vec::new(),
        };
        Self {
            id: id.into(),
            entries,
        }
    }

    /// Returns whether no line names the request.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Says what the lines leave open.
    fn gaps(&self) -> Vec<&'static str> {
        let any = |event: &str| self.entries.iter().any(|entry| &*entry.event == event);
        let suppressed = self
            .entries
            .iter()
            .any(|e| e.details.contains("suppressed="));
        let gaps = [
            (
                !any("job-submitted") && !any("request-refused"),
                "not known: who took the request; the log of its entry instance is missing",
            ),
            (
                any("job-submitted") && !any("task-started") && !any("job-ended"),
                "not known: whether it ran; no leader of these logs started a task of it",
            ),
            (
                any("task-started") && !any("job-ended"),
                "not known: how it ended; no leader of these logs saw the end",
            ),
            (
                suppressed,
                "not known: lines that were left out, see suppressed= in these lines",
            ),
        ];
        let open = gaps.into_iter().filter(|(open, _)| *open);
        open.map(|(_, text)| text).collect()
    }
}

impl fmt::Display for Timeline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for entry in &self.entries {
            let mark = if entry.names(&self.id) { ' ' } else { '*' };
            writeln!(
                f,
                "{}{mark}{} {} {}",
                entry.time, entry.source, entry.event, entry.details
            )?;
        }
        for gap in self.gaps() {
            writeln!(f, "{gap}")?;
        }
        Ok(())
    }
}
