use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use eyre::{Report, WrapErr, eyre};
use tokio::task::JoinSet;

use super::audit::audit;
use super::caller::Caller;
use super::jobs::check_tickets;
use super::journal::Journal;
use super::report::write_report;
use super::script::play;
use super::submitter::Submitter;
use super::ticket::Ticket;
use super::watch::Watch;
use super::{Bed, Plan, Rule, Summary, Tally, Timeline};
use crate::config::Outcome;
use crate::fleet::{Document, Service};
use crate::jobs::Record;
use crate::node::Applied;
use crate::standin::Kind;

/// Example fleets by name.
const SHAPES: [(&str, &str); 2] = [
    ("huallaga", include_str!("../../examples/huallaga.jsonc")),
    ("rennes", include_str!("../../examples/rennes.jsonc")),
];

/// Entry instances at the start, two in each of three data centres.
const NODES: usize = 6;

/// Callers per workspace and service.
const CALLERS: u64 = 6;

/// Time for accepted jobs to end after the load.
const JOBS_TIMEOUT: Duration = Duration::from_secs(20);

/// Time for the first instances to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs the demonstration.
///
/// # Errors
///
/// A stand-in or an instance could not be started, or a change was not accepted.
pub fn run(plan: &Plan) -> Result<Summary, Report> {
    let runtime = tokio::runtime::Runtime::new().wrap_err("step=start-runtime")?;
    runtime.block_on(demonstrate(plan))
}

async fn demonstrate(plan: &Plan) -> Result<Summary, Report> {
    let (_, text) = SHAPES
        .iter()
        .find(|(name, _)| *name == plan.shape)
        .ok_or_else(|| eyre!("step=find-shape shape={:?}", plan.shape))?;
    let bed = Arc::new(Bed::start(text).await?);
    start_nodes(&bed).await?;
    print_addresses(&bed);
    let (tally, journal) = (Arc::new(Tally::default()), Arc::new(Journal::default()));
    let stop = Arc::new(AtomicBool::new(false));
    let paces: Vec<_> = bed
        .document
        .services
        .iter()
        .map(|_| Arc::new(AtomicU32::new(100)))
        .collect();
    let mut load = start_load(plan, &bed, &journal, &paces, &stop);
    let tickets: Arc<Mutex<Vec<Ticket>>> = Arc::default();
    start_jobs(plan, &bed, &tickets, &stop, &mut load);
    load.spawn(watch_versions(bed.clone(), tally.clone(), stop.clone()));
    let watch = Arc::new(Watch::default());
    load.spawn(watch_rows(
        watch.clone(),
        bed.clone(),
        tally.clone(),
        stop.clone(),
    ));
    let timeline = Timeline::of(Duration::from_secs(plan.seconds));
    let events = play(&bed, &watch, &tally, &paces, &timeline).await?;
    stop.store(true, Ordering::Release);
    while load.join_next().await.is_some() {}
    bed.wait(JOBS_TIMEOUT, |bed| {
        let open = |row: &crate::platform::Row| {
            let record = serde_json::from_str::<Record>(&row.value);
            record.is_ok_and(|record| !record.state.is_final())
        };
        !bed.store.rows("jobs/").iter().any(open)
    })
    .await;
    let entries = journal.take();
    audit(&bed, &watch, &tally, &events, &entries);
    let tickets = std::mem::take(&mut *tickets.lock().expect("tickets lock"));
    let work = check_tickets(&bed, &tally, &tickets, &events);
    let counters = bed.store.counters();
    let peaks = (
        counters.get(Kind::Read).peak,
        counters.get(Kind::Write).peak,
    );
    let summary = Summary::new(tally, events, &entries, peaks, work);
    if let Some(dir) = &plan.report {
        write_report(dir, &summary, &entries)?;
    }
    if plan.hold {
        print!("{summary}");
        print_addresses(&bed);
        tokio::signal::ctrl_c()
            .await
            .wrap_err("step=wait-for-interrupt")?;
    }
    for node in bed.nodes() {
        bed.stop_node(&node).await;
    }
    Ok(summary)
}

/// Starts the entry instances and puts the first version in force.
async fn start_nodes(bed: &Arc<Bed>) -> Result<(), Report> {
    for _ in 0..NODES {
        bed.start_node().await?;
    }
    let content = serde_json::to_string(&bed.document)?;
    let first = bed.nodes()[0].clone();
    let applied = first.shared().apply(&content, None, "demo").await;
    if !matches!(applied, Applied::Committed(Outcome::Accepted(_))) {
        return Err(eyre!("step=apply outcome={applied:?}"));
    }
    let started = bed.wait(START_TIMEOUT, |bed| {
        bed.ready().len() == NODES && bed.nodes().iter().all(|n| is_joined(n))
    });
    if !started.await {
        return Err(eyre!("step=start ready={} of={NODES}", bed.ready().len()));
    }
    Ok(())
}

/// Returns whether an instance knows all the others as voters.
fn is_joined(node: &crate::node::Node) -> bool {
    let voters = node
        .shared()
        .control
        .read(|s| s.revision().map_or(0, |r| r.head.voters.len()));
    voters == NODES
}

fn start_load(
    plan: &Plan,
    bed: &Arc<Bed>,
    journal: &Arc<Journal>,
    paces: &[Arc<AtomicU32>],
    stop: &Arc<AtomicBool>,
) -> JoinSet<()> {
    let mut load = JoinSet::new();
    let mut number = 0;
    for (service, pace) in bed.document.services.iter().zip(paces) {
        for workspace in callers_of(&bed.document, service) {
            for _ in 0..CALLERS {
                number += 1;
                let caller = Caller {
                    number,
                    seed: plan.seed,
                    key: format!("{workspace}-key").into(),
                    workspace: workspace.clone(),
                    service: service.name.clone(),
                    pace: pace.clone(),
                    stop: stop.clone(),
                };
                load.spawn(caller.run(bed.clone(), journal.clone()));
            }
        }
    }
    load
}

/// Starts submissions of each workspace to each queue that it may use.
fn start_jobs(
    plan: &Plan,
    bed: &Arc<Bed>,
    tickets: &Arc<Mutex<Vec<Ticket>>>,
    stop: &Arc<AtomicBool>,
    load: &mut JoinSet<()>,
) {
    let mut number = 1_000;
    for queue in &bed.document.queues {
        let all = || {
            bed.document
                .workspaces
                .iter()
                .map(|t| t.name.clone())
                .collect()
        };
        let workspaces: Vec<Arc<str>> = match queue.workspaces.is_empty() {
            true => all(),
            false => queue.workspaces.clone(),
        };
        for workspace in workspaces {
            number += 1;
            let submitter = Submitter {
                seed: plan.seed.wrapping_add(number),
                workspace,
                queue: queue.name.clone(),
                stop: stop.clone(),
            };
            load.spawn(submitter.run(bed.clone(), tickets.clone()));
        }
    }
}

fn callers_of(document: &Document, service: &Service) -> Vec<Arc<str>> {
    match service.workspaces.is_empty() {
        true => document.workspaces.iter().map(|t| t.name.clone()).collect(),
        false => service.workspaces.clone(),
    }
}

/// Checks that no instance goes back to an older version.
async fn watch_versions(bed: Arc<Bed>, tally: Arc<Tally>, stop: Arc<AtomicBool>) {
    let mut seen = crate::collections::Map::default();
    while !stop.load(Ordering::Acquire) {
        for node in bed.nodes() {
            let name = node.shared().member.name.clone();
            let version = node.shared().control.current().map_or(0, |s| s.version());
            let before = seen.insert(name.clone(), version).unwrap_or(0);
            tally.check(Rule::Config, version >= before, || {
                format!("instance={name} version={version} before={before}")
            });
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Samples the rows and the targets.
async fn watch_rows(watch: Arc<Watch>, bed: Arc<Bed>, tally: Arc<Tally>, stop: Arc<AtomicBool>) {
    while !stop.load(Ordering::Acquire) {
        watch.sample(&bed, &tally);
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
}

fn print_addresses(bed: &Bed) {
    for node in bed.nodes() {
        let member = &node.shared().member;
        println!(
            "{} callers={} operators={}",
            member.name, member.callers, member.operators
        );
    }
}
