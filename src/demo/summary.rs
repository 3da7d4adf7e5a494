use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use super::Tally;
use super::journal::Entry;
use super::script::Events;
use super::work::Work;
use crate::collections::Map;

/// Result of the demonstration.
#[derive(Debug)]
pub struct Summary {
    tally: Arc<Tally>,
    events: Events,
    answered: usize,
    calls: usize,
    reasons: Vec<(String, usize)>,
    p50: Duration,
    p99: Duration,
    /// Answered calls a second while a data centre was out, over those before.
    work: Option<f64>,
    peak_writes: u64,
    peak_reads: u64,
    jobs: Work,
}

impl Summary {
    pub(super) fn new(
        tally: Arc<Tally>,
        events: Events,
        entries: &[Entry],
        (peak_reads, peak_writes): (u64, u64),
        jobs: Work,
    ) -> Self {
        let answered: Vec<&Entry> = entries.iter().filter(|e| is_answered(e)).collect();
        let mut times: Vec<Duration> = answered.iter().map(|e| e.took).collect();
        times.sort();
        let at = |part: f64| {
            let place = (times.len() as f64 * part) as usize;
            times
                .get(place.min(times.len().saturating_sub(1)))
                .copied()
                .unwrap_or_default()
        };
        Self {
            work: measure_work(&events, &answered),
            answered: answered.len(),
            calls: entries.len(),
            reasons: count_answers(entries),
            p50: at(0.5),
            p99: at(0.99),
            tally,
            events,
            peak_writes,
            peak_reads,
            jobs,
        }
    }

    /// Returns whether no check failed, every rule was checked, and instances were rebooted and
    /// moved, without which two of the rules would be checked on nothing.
    pub fn is_clean(&self) -> bool {
        let mut rules = self.tally.iter();
        self.events.reboots > 0
            && self.events.moves > 0
            && rules.all(|(_, checks, violations)| violations == 0 && checks > 0)
    }
}

fn is_answered(entry: &Entry) -> bool {
    entry
        .answer
        .as_ref()
        .is_some_and(|(status, _)| status.is_success())
}

fn count_answers(entries: &[Entry]) -> Vec<(String, usize)> {
    let mut counts: Map<String, usize> = Map::default();
    for entry in entries {
        let name = match &entry.answer {
            Some((status, outcome)) => format!("{} {outcome}", status.as_u16()),
            None => "connection broke".to_owned(),
        };
        *counts.entry(name).or_insert(0) += 1;
    }
    let mut counts: Vec<_> = counts.into_iter().collect();
    counts.sort();
    counts
}

fn measure_work(events: &Events, answered: &[&Entry]) -> Option<f64> {
    let (_, out, back) = events.out.as_ref()?;
    let ((workspace, withdrawn), back) = (events.withdrawn.as_ref()?, (*back)?);
    let first = answered.iter().map(|e| e.sent).min()?;
    let rate = |from, to: crate::clock::Instant| {
        // The workspace whose key was withdrawn calls in the first part only.
        let others = answered.iter().filter(|e| e.workspace != *workspace);
        let count = others.filter(|e| e.sent >= from && e.sent < to).count();
        count as f64 / to.since(from).as_secs_f64()
    };
    Some(rate(*out, back) / rate(first, *withdrawn))
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "calls                          {}", self.calls)?;
        writeln!(f, "answered                       {}", self.answered)?;
        for (name, count) in &self.reasons {
            writeln!(f, "  {name:<28} {count}")?;
        }
        writeln!(f, "time p50                       {:?}", self.p50)?;
        writeln!(f, "time p99                       {:?}", self.p99)?;
        writeln!(
            f,
            "slowest change in force        {:?}",
            self.events.slowest_change
        )?;
        if let Some(work) = self.work {
            writeln!(
                f,
                "work while a data centre out   {:.1} % of before",
                work * 100.0
            )?;
        }
        let jobs = &self.jobs;
        writeln!(
            f,
            "jobs accepted, refused         {}, {}",
            jobs.accepted, jobs.refused
        )?;
        writeln!(
            f,
            "jobs done, unfinished          {}, {}",
            jobs.done, jobs.unfinished
        )?;
        writeln!(
            f,
            "urgent start p50, p99, worst   {:?}, {:?}, {:?} of {}",
            jobs.urgent_quantile(0.5),
            jobs.urgent_quantile(0.99),
            jobs.urgent_quantile(1.0),
            jobs.urgent.len()
        )?;
        writeln!(
            f,
            "urgent start, store down       {:?} worst of {}",
            jobs.delayed.0, jobs.delayed.1
        )?;
        writeln!(
            f,
            "store reads, writes peak       {}/s, {}/s",
            self.peak_reads, self.peak_writes
        )?;
        writeln!(
            f,
            "instances rebooted, moved      {}, {}",
            self.events.reboots, self.events.moves
        )?;
        writeln!(f, "\n{:<14} {:>9} {:>11}", "rule", "checks", "violations")?;
        for (rule, checks, violations) in self.tally.iter() {
            writeln!(f, "{:<14} {checks:>9} {violations:>11}", rule.to_string())?;
        }
        Ok(())
    }
}
