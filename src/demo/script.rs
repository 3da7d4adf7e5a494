use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use eyre::{Report, eyre};

use super::bound::BOUND;
use super::watch::Watch;
use super::{Bed, Rule, Tally, Timeline};
use crate::clock::{self, Instant};
use crate::config::Outcome;
use crate::fleet::{Direction, Document, Plan};
use crate::node::Applied;
use crate::platform::State;
use crate::pools::Assignment;
use crate::standin::target::Mode;

/// Time for the first reboot and the first move; both take about 4 s.
const WAVE_BOUND: Duration = Duration::from_secs(15);

/// What happened in a run, and when.
#[derive(Clone, Debug, Default)]
pub(super) struct Events {
    /// Workspace whose key was withdrawn, and when.
    pub(super) withdrawn: Option<(Arc<str>, Instant)>,
    /// Data centre, when it was taken out and when it was brought back.
    pub(super) out: Option<(Arc<str>, Instant, Option<Instant>)>,
    /// Targets, and when each began to leave.
    pub(super) leaving: Vec<(Arc<str>, Instant)>,
    /// Longest time that a change took to be in force everywhere.
    pub(super) slowest_change: Duration,
    /// When the store went down and came back.
    pub(super) outage: Option<(Instant, Instant)>,
    /// Instances that were rebooted by plans.
    pub(super) reboots: usize,
    /// Instances that moved to another pool.
    pub(super) moves: usize,
    /// Entry instance that was replaced.
    pub(super) replaced: Option<Arc<str>>,
}

/// Makes the events of a run.
pub(super) async fn play(
    bed: &Arc<Bed>,
    watch: &Watch,
    tally: &Arc<Tally>,
    paces: &[Arc<AtomicU32>],
    timeline: &Timeline,
) -> Result<Events, Report> {
    let mut events = Events::default();
    let mut document = bed.document.clone();
    tokio::time::sleep(timeline.warm_up).await;

    let workspace = document
        .workspaces
        .last()
        .ok_or_else(|| eyre!("step=script workspaces=0"))?
        .name
        .clone();
    document
        .workspaces
        .iter_mut()
        .filter(|t| t.name == workspace)
        .flat_map(|t| &mut t.keys)
        .for_each(|key| {
            key.withdrawn = true;
        });
    let at = change(bed, tally, &document, &mut events).await?;
    events.withdrawn = Some((workspace, at));

    maintain(bed, watch, tally, &mut document, &mut events).await?;

    let name = document.data_centres[1].name.clone();
    document.data_centres[1].state = Direction::Out;
    let out = change(bed, tally, &document, &mut events).await?;
    tokio::time::sleep(timeline.data_centre_out).await;
    document.data_centres[1].state = Direction::In;
    let back = clock::now();
    change(bed, tally, &document, &mut events).await?;
    events.out = Some((name, out, Some(back)));

    spike(paces, timeline.spike).await;

    leave(bed, &bed.document.pools[0].instances[0], &mut events);
    tokio::time::sleep(timeline.leaving).await;

    let down = clock::now();
    bed.store.faults().set_outage(true);
    // The list cannot be read now, so the target has to tell by its own answers.
    let silent = &bed.document.pools[0].instances[1];
    leave(bed, silent, &mut events);
    if let Some(target) = bed.targets.get(silent) {
        target.set_mode(Mode::Leaving);
    }
    tokio::time::sleep(timeline.outage).await;
    bed.store.faults().set_outage(false);
    events.outage = Some((down, clock::now()));
    tokio::time::sleep(timeline.recovery).await;

    let first = bed.nodes()[0].clone();
    events.replaced = Some(first.shared().member.name.clone());
    bed.stop_node(&first).await;
    bed.start_node().await?;
    tokio::time::sleep(timeline.wind_down).await;
    events.reboots = bed.store.machines().rebooted().len();
    events.moves = watch.moves();
    Ok(events)
}

/// Starts the plan of one pool and makes another larger, at the cost of the spare pool.
///
/// Goes on when an instance has been rebooted and another has moved; the plan continues.
async fn maintain(
    bed: &Arc<Bed>,
    watch: &Watch,
    tally: &Arc<Tally>,
    document: &mut Document,
    events: &mut Events,
) -> Result<(), Report> {
    document.plans = vec![Plan {
        name: "demo-reboots".into(),
        pool: document.pools[1].name.clone(),
        period_days: 21,
        window_start_hour: 0,
        window_hours: 24,
        paused: false,
    }];
    document.pools[2].size += 1;
    if let Some(spare) = document.pools.iter_mut().find(|pool| pool.spare) {
        spare.size -= 1;
    }
    change(bed, tally, document, events).await?;
    let done = bed.wait(WAVE_BOUND, |bed| {
        let rows = bed.store.rows(Assignment::PREFIX);
        let mut rows = rows
            .iter()
            .filter_map(|row| serde_json::from_str(&row.value).ok());
        watch.moves() > 0 && rows.any(|row: Assignment| row.maintained > 0)
    });
    if !done.await {
        log::error!(event = "maintenance-late", seconds = WAVE_BOUND.as_secs(); "");
    }
    Ok(())
}

/// Marks a target as leaving in the platform's list.
fn leave(bed: &Bed, name: &Arc<str>, events: &mut Events) {
    events.leaving.push((name.clone(), clock::now()));
    let listed = bed
        .instances
        .lock()
        .expect("instances lock")
        .iter()
        .find(|i| i.name == *name)
        .cloned();
    if let Some(mut instance) = listed {
        instance.state = State::Leaving;
        bed.set_instance(instance);
    }
}

/// Raises each service in turn to five times its mean, then to a twentieth.
async fn spike(paces: &[Arc<AtomicU32>], length: Duration) {
    let part = length / u32::try_from(paces.len().max(1)).unwrap_or(1);
    for pace in paces {
        pace.store(500, Ordering::Release);
        tokio::time::sleep(part).await;
        pace.store(5, Ordering::Release);
    }
    for pace in paces {
        pace.store(100, Ordering::Release);
    }
}

/// Puts a document in force and checks that every instance has it within the bound.
///
/// Returns when the change was accepted.
async fn change(
    bed: &Arc<Bed>,
    tally: &Arc<Tally>,
    document: &Document,
    events: &mut Events,
) -> Result<Instant, Report> {
    let content = serde_json::to_string(document)?;
    let node = bed.nodes()[0].clone();
    let mut outcome = node.shared().apply(&content, None, "demo").await;
    // A change of the voters may come first; an operator would read the version again.
    for _ in 0..5 {
        if matches!(outcome, Applied::Committed(Outcome::Accepted(_))) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
        outcome = node.shared().apply(&content, None, "demo").await;
    }
    let Applied::Committed(Outcome::Accepted(revision)) = outcome else {
        return Err(eyre!("step=apply outcome={outcome:?}"));
    };
    let at = clock::now();
    let version = revision.head.version;
    let everywhere = bed.wait(BOUND * 2, |bed| {
        bed.nodes().iter().all(|n| {
            n.shared()
                .control
                .current()
                .is_some_and(|s| s.version() >= version)
        })
    });
    let reached = everywhere.await;
    let took = clock::now().since(at);
    events.slowest_change = events.slowest_change.max(took);
    tally.check(Rule::Config, reached && took <= BOUND, || {
        format!("version={version} took={took:?}")
    });
    Ok(at)
}
