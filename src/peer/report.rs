use super::{Hub, Link};
use crate::call::Load;
use crate::clock::Instant;
use crate::collections::Map;
use crate::fleet::Snapshot;
use crate::limit;
use crate::route::NameHash;
use crate::wire::Report;

/// Makes what this instance tells its peers.
pub(super) fn make_report(hub: &Hub) -> Report {
    let Some(current) = hub.control().current() else {
        return Report::default();
    };
    let dispatcher = hub.control().dispatcher();
    let permits = dispatcher.with_ledger(|ledger| ledger.report());
    let load = dispatcher.running_load();
    let workspaces = number(current.ranked_workspaces());
    let services = number(current.ranked_services());
    let calls = load
        .workspaces
        .iter()
        .filter_map(|((service, workspace), count)| {
            Some([*services.get(service)?, *workspaces.get(workspace)?, *count])
        });
    Report {
        settled: permits.settled,
        closed: permits.closed,
        version: current.version(),
        permits: permits
            .running
            .iter()
            .filter_map(|(workspace, count)| Some([*workspaces.get(workspace)?, *count]))
            .flatten()
            .collect(),
        calls: calls.flatten().collect(),
        targets: load.targets.keys().map(|tag| tag.0).collect(),
        target_counts: load.targets.values().copied().collect(),
        assigned: load.roster_version,
    }
}

/// Passes a report to the ledger and the dispatcher.
///
/// Counts of another version are left out: its order of names may differ.
pub(super) fn take_report(hub: &Hub, link: &Link, report: &Report, now: Instant) {
    hub.learn_version(&link.voter().name, report.version);
    let Some(current) = hub.control().current() else {
        return;
    };
    let same = report.version == current.version();
    let running = if same {
        read_permits(&current, &report.permits)
    } else {
        Vec::new()
    };
    let permits = limit::Report {
        settled: report.settled,
        closed: report.closed,
        running,
    };
    hub.control().dispatcher().with_ledger(|ledger| {
        let peer = ledger.peer_id(link.voter());
        ledger.apply_report(peer, permits, now);
    });
    let targets = report.targets.iter().zip(&report.target_counts);
    let load = Load {
        workspaces: if same {
            read_calls(&current, &report.calls)
        } else {
            Map::default()
        },
        targets: targets
            .map(|(tag, count)| (NameHash(*tag), *count))
            .collect(),
        roster_version: report.assigned,
    };
    hub.learn_load(&link.voter().name, load, now);
}

fn read_permits(current: &Snapshot, pairs: &[u32]) -> Vec<(crate::fleet::WorkspaceId, u32)> {
    let workspaces = current.ranked_workspaces();
    let pairs = pairs.as_chunks::<2>().0.iter();
    pairs
        .filter_map(|[workspace, count]| Some((*workspaces.get(*workspace as usize)?, *count)))
        .collect()
}

fn read_calls(
    current: &Snapshot,
    triples: &[u32],
) -> Map<(crate::fleet::ServiceId, crate::fleet::WorkspaceId), u32> {
    let (services, workspaces) = (current.ranked_services(), current.ranked_workspaces());
    let triples = triples.as_chunks::<3>().0.iter();
    let read = |[service, workspace, count]: &[u32; 3]| {
        Some((
            (
                *services.get(*service as usize)?,
                *workspaces.get(*workspace as usize)?,
            ),
            *count,
        ))
    };
    triples.filter_map(read).collect()
}

/// Numbers ids by their place.
fn number<T: Copy + std::hash::Hash + Eq>(ranked: &[T]) -> Map<T, u32> {
    ranked.iter().copied().zip(0..).collect()
}
