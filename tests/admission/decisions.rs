use std::time::Duration;

use coriandernotch::batch::admission::{Arrival, Gate, QueueForecast, Reason, Verdict};
use coriandernotch::batch::{Spec, Step, Terms};

use crate::fixture::{MADE_MS, SECOND, TOKEN, arrival, decide, forecast, now, outlook, work};

/// Guards against jobs that take capacity although they end when they are of no use.
#[test]
fn refuses_a_job_that_would_end_too_late() {
    let verdict = decide(&arrival(), outlook(forecast()));
    let Verdict::Refuse { end, delay } = verdict else {
        panic!("{verdict:?}");
    };
    assert_eq!(end, Duration::from_secs(32));
    // Of the backlog of 30 s, a job of 2 s can wait for 1 s.
    assert_eq!(delay, Duration::from_secs(29));
}

/// Guards against the refusal of jobs that the queue can serve in time or late but usefully.
#[test]
fn accepts_a_job_that_is_of_use() {
    let short = QueueForecast {
        within_objective: 0,
        total: work(7),
        ..forecast()
    };
    assert_eq!(
        decide(&arrival(), outlook(short.clone())),
        Verdict::Accept(Reason::InTime)
    );
    let late = QueueForecast {
        within_objective: work(7),
        ..short
    };
    assert_eq!(
        decide(&arrival(), outlook(late.clone())),
        Verdict::Accept(Reason::Useful)
    );
    // The last useful end is after 9 s; declared times are uncertain.
    let uncertain = QueueForecast {
        total: work(9),
        ..late
    };
    assert_eq!(
        decide(&arrival(), outlook(uncertain)),
        Verdict::Accept(Reason::Useful)
    );
}

/// Guards against the refusal of small jobs: the engine defers larger ones for them.
#[test]
fn accepts_a_job_smaller_than_the_largest_that_is_kept() {
    let small = Arrival {
        work: work(1) - 1,
        ..arrival()
    };
    let verdict = decide(&small, outlook(forecast()));
    assert_eq!(verdict, Verdict::Accept(Reason::InTime));
    let same = Arrival {
        work: work(1),
        ..arrival()
    };
    assert!(!decide(&same, outlook(forecast())).is_accept());
}

/// Guards against refusals while no job had to be deferred.
#[test]
fn accepts_every_job_while_none_is_deferred() {
    let forecast = QueueForecast {
        largest_kept: None,
        ..forecast()
    };
    let verdict = decide(&arrival(), outlook(forecast));
    assert_eq!(verdict, Verdict::Accept(Reason::InTime));
}

/// Guards against refusals in the two seconds that machines need to join a pool.
#[test]
fn counts_on_machines_that_may_arrive() {
    let forecast = QueueForecast {
        reachable: 4_000,
        ..forecast()
    };
    // 1.5 s at one processor and 28.5 s of work at five, then the job itself.
    assert_eq!(forecast.time_for(forecast.total).as_millis(), 7_200);
    let verdict = decide(&arrival(), outlook(forecast));
    assert_eq!(verdict, Verdict::Accept(Reason::Useful));
}

/// Guards against a burst of jobs accepted between two outlooks.
#[test]
fn counts_what_has_arrived_since_the_outlook() {
    let growing = QueueForecast {
        within_objective: work(8),
        total: work(8),
        arriving: 5_000,
        ..forecast()
    };
    let mut gate = Gate::default();
    gate.receive(outlook(growing), now());
    let at = |ms| gate.decide(&arrival(), "q", Some(TOKEN), Some(MADE_MS + ms), now());
    assert_eq!(at(0), Verdict::Accept(Reason::Useful));
    // One processor works off 1 s of the 5 s that have arrived.
    assert!(!at(1_000).is_accept());
}

/// Guards against refusals by an outlook of a burst that may be over.
#[test]
fn accepts_by_an_old_outlook() {
    let mut gate = Gate::default();
    gate.receive(outlook(forecast()), now());
    let age_ms = 2_000;
    let at = |ms| gate.decide(&arrival(), "q", Some(TOKEN), Some(MADE_MS + ms), now());
    assert!(!at(age_ms).is_accept());
    assert_eq!(at(age_ms + 1), Verdict::Accept(Reason::OldOutlook));
}

/// Guards against an outlook that seems new because the clock of the store was set back.
#[test]
fn accepts_by_an_outlook_received_long_ago() {
    let mut gate = Gate::default();
    gate.receive(outlook(forecast()), now());
    let later = now() + Duration::from_millis(2_001);
    let verdict = gate.decide(&arrival(), "q", Some(TOKEN), Some(1), later);
    assert_eq!(verdict, Verdict::Accept(Reason::OldOutlook));
}

/// Guards against refusals by an outlook whose age is not known.
#[test]
fn accepts_without_the_clock_of_the_store() {
    let mut gate = Gate::default();
    gate.receive(outlook(forecast()), now());
    let verdict = gate.decide(&arrival(), "q", Some(TOKEN), None, now());
    assert_eq!(verdict, Verdict::Accept(Reason::OldOutlook));
    let mut unknown = outlook(forecast());
    unknown.made_ms = 0;
    assert_eq!(
        decide(&arrival(), unknown),
        Verdict::Accept(Reason::OldOutlook)
    );
}

/// Guards against refusals without a leader, or by the outlook of an earlier one: the next one
/// publishes its own once it has loaded.
#[test]
fn accepts_without_the_leader_that_made_the_outlook() {
    let mut gate = Gate::default();
    gate.receive(outlook(forecast()), now());
    for leader in [None, Some(TOKEN + 1)] {
        let verdict = gate.decide(&arrival(), "q", leader, Some(MADE_MS), now());
        assert_eq!(verdict, Verdict::Accept(Reason::NoOutlook));
    }
}

/// Guards against refusals of jobs that a burst does not concern.
#[test]
fn accepts_lasting_jobs_and_jobs_with_start_times() {
    let lasting = Arrival {
        lasting: true,
        ..arrival()
    };
    let verdict = decide(&lasting, outlook(forecast()));
    assert_eq!(verdict, Verdict::Accept(Reason::Lasting));
    let scheduled = Arrival {
        scheduled: true,
        ..arrival()
    };
    let verdict = decide(&scheduled, outlook(forecast()));
    assert_eq!(verdict, Verdict::Accept(Reason::Scheduled));
}

/// Guards against a lasting step or start times that the description of an arrival misses.
#[test]
fn recognises_lasting_jobs_and_jobs_with_start_times() {
    let step = |lasting| Step {
        count: 1,
        lasting,
        ..Step::default()
    };
    let spec = Spec {
        steps: vec![step(false), step(true)],
        ..Spec::default()
    };
    let terms = Terms::default();
    assert!(Arrival::new(&"w".into(), 1, &spec, &terms).lasting);
    let spec = Spec {
        steps: vec![step(false)],
        occurrences: 1,
        ..Spec::default()
    };
    let arrival = Arrival::new(&"w".into(), 1, &spec, &terms);
    assert!(arrival.scheduled && !arrival.lasting);
}

/// Guards against the refusal of jobs of other queues.
#[test]
fn accepts_jobs_of_queues_that_are_not_listed() {
    let mut gate = Gate::default();
    gate.receive(outlook(forecast()), now());
    let verdict = gate.decide(&arrival(), "r", Some(TOKEN), Some(MADE_MS), now());
    assert_eq!(verdict, Verdict::Accept(Reason::NoBacklog));
}

/// Guards against refusals while the store may carry out writes of other instances late.
#[test]
fn accepts_while_the_store_leaves_writes_unanswered() {
    let mut gate = Gate::default();
    gate.record_unknown_outcome(now());
    let later = now() + Gate::UNKNOWN_FOR;
    let just_before = now() + (Gate::UNKNOWN_FOR - Duration::from_millis(1));
    gate.receive(outlook(forecast()), later);
    let at = |now| gate.decide(&arrival(), "q", Some(TOKEN), Some(MADE_MS), now);
    assert_eq!(at(just_before), Verdict::Accept(Reason::Unknown));
    assert!(!at(later).is_accept());
}

/// Guards against the refusal of a workspace within its weight because of one that floods the queue,
/// and against the acceptance of jobs that all others go before.
#[test]
fn tells_workspaces_beyond_their_weight_from_others() {
    let flooded = QueueForecast {
        within_objective: 0,
        total: work(2),
        over_rate: work(60),
        largest_kept: Some(0),
        ..forecast()
    };
    let mut outlook = outlook(flooded);
    outlook.over_rate = vec![("flood".into(), SECOND)];
    assert!(decide(&arrival(), outlook.clone()).is_accept());
    let flood = Arrival {
        workspace: "flood".into(),
        ..arrival()
    };
    assert!(!decide(&flood, outlook.clone()).is_accept());
    // In the next second the workspace has its weight again.
    let later = Arrival {
        second: SECOND + 1,
        ..flood
    };
    assert!(decide(&later, outlook).is_accept());
}

/// Guards against callers that are sent back into the same burst.
#[test]
fn asks_callers_to_return_after_the_burst() {
    let growing = QueueForecast {
        arriving: 3_000,
        burst_ms: Some(4_000),
        ..forecast()
    };
    let Verdict::Refuse { delay, .. } = decide(&arrival(), outlook(growing)) else {
        panic!("accepted");
    };
    // 30 s of work, and 2 s more for each of the 4 s that the burst goes on, less 1 s of wait.
    assert_eq!(delay, Duration::from_secs(37));
}

/// Guards against a returning job that is accepted and then placed last, because its objective counts
/// from its first attempt.
#[test]
fn counts_the_objective_from_the_first_attempt() {
    let backlog = |seconds| QueueForecast {
        within_objective: work(seconds),
        total: work(seconds),
        ..forecast()
    };
    let verdict = |waited| {
        let arrived_ms = SECOND * 1_000 + waited;
        let arrival = arrival().counted_from(SECOND * 1_000, arrived_ms);
        decide(&arrival, outlook(backlog(5)))
    };
    assert_eq!(verdict(0), Verdict::Accept(Reason::Useful));
    assert!(!verdict(6_000).is_accept());
    assert!(!arrival().is_new_after(Duration::from_secs(7)));
    assert!(arrival().is_new_after(Duration::from_millis(7_001)));
}
