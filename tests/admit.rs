//! Queues of waiting calls: fairness, deadlines and bounds.

use std::time::Duration;

use coriandernotch::admit::{Queues, Refusal};
use coriandernotch::clock::Instant;
use coriandernotch::fleet::WorkspaceId;
use quickcheck::{Arbitrary, Gen};

const A: WorkspaceId = WorkspaceId(0);
const B: WorkspaceId = WorkspaceId(1);

fn at(millis: u64) -> Instant {
    Instant::default() + Duration::from_millis(1_000 + millis)
}

/// Guards against one workspace taking more than its share while others wait.
#[test]
fn a_full_service_is_divided_by_share() {
    let shares = [1.0, 3.0];
    let mut queues = Queues::default();
    for workspace in [A, B] {
        for i in 0..1000 {
            queues
                .push(workspace, at(1_000_000), at(0), 1, 1000, i)
                .unwrap();
        }
    }
    let mut running = [0u32; 2];
    let mut served = [0u32; 2];
    let mut running_calls = std::collections::VecDeque::new();
    for step in 0..800 {
        if running_calls.len() == 16 {
            let workspace: usize = running_calls.pop_front().unwrap();
            running[workspace] -= 1;
        }
        let (next, _) = queues.next(at(step), |workspace| {
            Some(f64::from(running[workspace.index()]) / shares[workspace.index()])
        });
        let workspace = next.unwrap().workspace.index();
        running[workspace] += 1;
        served[workspace] += 1;
        running_calls.push_back(workspace);
    }
    let fraction = f64::from(served[1]) / 800.0;
    assert!(
        (fraction - 0.75).abs() < 0.0375,
        "workspace B got {fraction} of the service, its share is 0.75"
    );
}

/// Guards against slots that stay idle because the only workspace with waiting calls has a high load.
#[test]
fn the_only_waiting_workspace_gets_a_free_slot() {
    let mut queues = Queues::default();
    queues.push(B, at(1_000), at(0), 1, 10, ()).unwrap();
    let (next, _) = queues.next(at(0), |workspace| (workspace == B).then_some(100.0));
    assert!(next.is_some());
}

/// Guards against starting calls that can no longer be answered by their deadline.
#[test]
fn calls_that_cannot_meet_their_deadline_are_refused() {
    let mut queues = Queues::default();
    queues.record_service_time(Duration::from_millis(100));
    let refused = queues.push(A, at(50), at(0), 1, 10, ()).unwrap_err().0;
    assert_eq!(refused, Refusal::DeadlineUnmeetable);
    queues.push(A, at(150), at(0), 1, 10, ()).unwrap();
    let refused = queues.push(A, at(150), at(0), 1, 10, ()).unwrap_err().0;
    assert_eq!(
        refused,
        Refusal::DeadlineUnmeetable,
        "one call is queued before it"
    );
    let (next, late) = queues.next(at(60), |_| Some(0.0));
    assert!(next.is_none(), "90 ms left, 100 ms needed");
    assert_eq!(late.len(), 1);
}

/// Guards against an unbounded queue, and against cancelled calls that count towards its bound.
#[test]
fn cancelled_calls_free_the_queue() {
    let mut queues = Queues::default();
    let tickets: Vec<_> = (0..100)
        .map(|i| queues.push(A, at(9_999), at(0), 1, 100, i).unwrap())
        .collect();
    assert_eq!(
        queues.push(A, at(9_999), at(0), 1, 100, 0).unwrap_err().0,
        Refusal::QueueFull
    );
    for ticket in &tickets {
        assert!(queues.cancel(*ticket).is_some());
        assert!(queues.cancel(*ticket).is_none(), "cancelled twice");
    }
    assert!(queues.is_empty());
    queues.push(A, at(9_999), at(0), 1, 100, 7).unwrap();
    let (next, _) = queues.next(at(1), |_| Some(0.0));
    assert_eq!(next.unwrap().value, 7);
}

/// Random operation on the queues.
#[derive(Clone, Debug)]
enum Operation {
    /// Queues a call of a workspace with a timeout, in units of 4 ms.
    Push(u8, u8),
    /// Takes the next call while one workspace, if it exists, may not start calls.
    Next(u8),
    /// Cancels one of the waiting calls.
    Cancel(u8),
}

impl Arbitrary for Operation {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 4 {
            0 | 1 => Self::Push(u8::arbitrary(g) % 3, u8::arbitrary(g)),
            2 => Self::Next(u8::arbitrary(g)),
            _ => Self::Cancel(u8::arbitrary(g)),
        }
    }
}

/// Guards against calls that end twice, are lost, or are served out of order within a workspace.
#[test]
fn every_call_ends_once_and_in_order() {
    let mut random = Gen::from_size_and_seed(120, 7);
    for _ in 0..300 {
        let operations = Vec::<Operation>::arbitrary(&mut random);
        let mut queues = Queues::default();
        let mut waiting: Vec<(WorkspaceId, u32, coriandernotch::admit::Ticket)> = Vec::new();
        let mut now = 0;
        for (number, operation) in (0..).zip(&operations) {
            now += 10;
            match *operation {
                Operation::Push(workspace, timeout) => {
                    let workspace = WorkspaceId(workspace.into());
                    let deadline = at(now + u64::from(timeout) * 4);
                    if let Ok(t) = queues.push(workspace, deadline, at(now), 4, 20, number) {
                        waiting.push((workspace, number, t));
                    }
                }
                Operation::Next(blocked) => {
                    let allowed = |workspace: WorkspaceId| workspace.0 != u32::from(blocked % 4);
                    let (next, late) = queues.next(at(now), |workspace| {
                        allowed(workspace).then_some(workspace.0.into())
                    });
                    for call in &late {
                        assert!(call.deadline < at(now));
                        waiting.retain(|(_, n, _)| *n != call.value);
                    }
                    if let Some(call) = next {
                        assert!(allowed(call.workspace) && call.deadline >= at(now));
                        let first = waiting.iter().find(|(w, ..)| *w == call.workspace).unwrap();
                        assert_eq!(first.1, call.value);
                        waiting.retain(|(_, n, _)| *n != call.value);
                    }
                }
                Operation::Cancel(i) if !waiting.is_empty() => {
                    let (_, number, ticket) = waiting.remove(usize::from(i) % waiting.len());
                    assert_eq!(queues.cancel(ticket).unwrap().value, number);
                }
                Operation::Cancel(_) => {}
            }
            assert_eq!(queues.len(), waiting.len());
        }
    }
}

/// Returns the total wait in milliseconds of `arrivals` (time, workspace) at one slot with equal
/// service times.
fn total_wait(arrivals: &[(u64, WorkspaceId)], load: impl Fn(WorkspaceId, &[u32]) -> f64) -> u64 {
    const SERVICE_MS: u64 = 10;
    let mut queues = Queues::default();
    let mut arrivals = arrivals.iter().peekable();
    let (mut served, mut total, mut now) = ([0u32; 2], 0, 0);
    while arrivals.peek().is_some() || !queues.is_empty() {
        while let Some(&&(time, workspace)) = arrivals.peek().filter(|a| a.0 <= now) {
            queues
                .push(workspace, at(1_000_000), at(time), 1, 10_000, time)
                .unwrap();
            arrivals.next();
        }
        let (next, _) = queues.next(at(now), |workspace| Some(load(workspace, &served)));
        match next {
            Some(call) => {
                total += now - call.value;
                served[call.workspace.index()] += 1;
                now += SERVICE_MS;
            }
            None => now = arrivals.peek().map_or(now, |a| a.0),
        }
    }
    total
}

/// Guards against slots left idle while calls wait. With equal service times and no idle slot, the sum
/// of all waits is the same in any order between workspaces as in order of arrival. This is the
/// conservation law of priority queues, section 3.2 of E. Chan, "Runtime Data Flow Scheduling of
/// Matrix Computations", FLAME Working Note 39.
#[test]
fn reordering_by_share_conserves_the_total_wait() {
    let mut random = Gen::from_size_and_seed(100, 3);
    for _ in 0..50 {
        let mut time = 0;
        let arrivals: Vec<(u64, WorkspaceId)> = (0..200)
            .map(|_| {
                time += u64::from(u8::arbitrary(&mut random) % 22);
                (time, if bool::arbitrary(&mut random) { A } else { B })
            })
            .collect();
        let in_order = total_wait(&arrivals, |_, _| 0.0);
        let by_share = total_wait(&arrivals, |workspace, served| {
            f64::from(served[workspace.index()]) / [1.0, 3.0][workspace.index()]
        });
        assert!(in_order > 0);
        assert_eq!(in_order, by_share);
    }
}
