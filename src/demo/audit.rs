//! Checks of the rules on what callers saw and what the stand-in targets recorded.

use std::sync::Arc;
use std::time::Duration;

use super::bound::BOUND;
use super::jobs::{self, check_jobs};
use super::journal::Entry;
use super::script::Events;
use super::watch::Watch;
use super::{Bed, Rule, Tally};
use crate::clock::Instant;
use crate::collections::Map;
use crate::standin::target::Run;

/// Runs of all targets, with the target's name.
type Runs = Vec<(Arc<str>, Run)>;

/// Checks all rules that can be checked after the run.
pub(super) fn audit(bed: &Bed, watch: &Watch, tally: &Tally, events: &Events, entries: &[Entry]) {
    let runs: Runs = bed
        .targets
        .iter()
        .flat_map(|(name, target)| target.runs().into_iter().map(|run| (name.clone(), run)))
        .collect();
    let mut counts: Map<Arc<str>, u32> = Map::default();
    runs.iter()
        .for_each(|(_, run)| *counts.entry(run.id.clone()).or_insert(0) += 1);
    for entry in entries {
        check_entry(
            tally,
            events,
            entry,
            counts.get(&entry.id).copied().unwrap_or(0),
        );
    }
    check_services(bed, watch, tally, entries, &runs);
    for (name, target) in &bed.targets {
        let cut = target.cut();
        tally.check(Rule::Graceful, cut == 0, || {
            format!("target={name} cut-by-reboot={cut}")
        });
    }
    check_jobs(bed, tally, &list_edges(&runs));
    check_data_centre(bed, tally, events, &runs);
    check_leaving(tally, events, &runs);
}

fn check_entry(tally: &Tally, events: &Events, entry: &Entry, runs: u32) {
    if !entry.idempotent {
        tally.check(Rule::AtMostOnce, runs <= 1, || {
            format!("id={} runs={runs}", entry.id)
        });
    }
    let Some((status, outcome)) = &entry.answer else {
        // Callers connect only to instances that are ready, so a broken call was cut.
        tally.check(Rule::Graceful, false, || {
            format!("id={} took={:?}", entry.id, entry.took)
        });
        return;
    };
    tally.check(Rule::Graceful, true, String::new);
    match &**outcome {
        "answered" if status.is_success() => {
            tally.check(Rule::Answer, entry.whole && runs >= 1, || {
                format!("id={}", entry.id)
            });
        }
        "not-run" => tally.check(Rule::NotRun, runs == 0, || {
            format!("id={} runs={runs}", entry.id)
        }),
        _ => {}
    }
    if let Some((workspace, at)) = &events.withdrawn
        && *workspace == entry.workspace
        && entry.sent.since(*at) > BOUND
    {
        tally.check(Rule::Key, runs == 0, || {
            format!("id={} key={}", entry.id, entry.key)
        });
    }
}

/// Checks that each call ran on a target that was in the pool of the called service at the time.
fn check_services(bed: &Bed, watch: &Watch, tally: &Tally, entries: &[Entry], runs: &Runs) {
    let called: Map<&str, &str> = entries.iter().map(|e| (&*e.id, &*e.service)).collect();
    for (target, run) in runs {
        let service = called.get(&*run.id).copied().unwrap_or("");
        let settings = bed.document.services.iter().find(|s| *s.name == *service);
        let inside = settings.is_some_and(|s| watch.was_in(target, &s.pool, run.start));
        for rule in [Rule::Answer, Rule::OnePool] {
            tally.check(rule, inside, || {
                format!("id={} service={service} target={target}", run.id)
            });
        }
    }
}

/// Lists starts and ends of the calls of each workspace.
fn list_edges(runs: &Runs) -> Map<Arc<str>, Vec<(Instant, i64)>> {
    let mut edges: Map<Arc<str>, Vec<(Instant, i64)>> = Map::default();
    for (_, run) in runs {
        let own = edges.entry(run.workspace.clone()).or_default();
        own.push((run.start, 1));
        own.extend(run.end.map(|end| (end, -1)));
    }
    edges
}

fn check_data_centre(bed: &Bed, tally: &Tally, events: &Events, runs: &Runs) {
    let Some((name, out, back)) = &events.out else {
        return;
    };
    let end = back.unwrap_or(*out + Duration::from_secs(86_400));
    jobs::check_data_centre(bed, tally, name, *out + BOUND, end);
    let instances = bed.instances.lock().expect("instances lock");
    let inside: Vec<&Arc<str>> = instances
        .iter()
        .filter(|i| i.data_centre == *name)
        .map(|i| &i.name)
        .collect();
    let during = runs
        .iter()
        .filter(|(_, run)| run.start > *out + BOUND && run.start < end);
    for (target, run) in during {
        tally.check(Rule::DataCentre, !inside.contains(&target), || {
            format!(
                "id={} target={target} after={:?}",
                run.id,
                run.start.since(*out)
            )
        });
    }
}

fn check_leaving(tally: &Tally, events: &Events, runs: &Runs) {
    for (name, at) in &events.leaving {
        for (target, run) in runs.iter().filter(|(_, run)| run.start > *at + BOUND) {
            tally.check(Rule::Leaving, target != name, || {
                format!(
                    "id={} target={target} after={:?}",
                    run.id,
                    run.start.since(*at)
                )
            });
        }
    }
}
