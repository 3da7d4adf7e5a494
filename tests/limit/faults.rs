use std::time::Duration;

use coriandernotch::limit::{Ledger, Report, Terms, Voter};

use super::simulation::{Simulation, WORKSPACE};
use super::step::Step::{self, *};

/// Lends both permits of node 0 to node 1 at a limit of 4, so that node 1 runs four units.
const LEND_ALL: [Step; 5] = [
    RunExpecting(1, 2, 2),
    SetWaiting(1, 2),
    Tick(1),
    DeliverAll,
    RunExpecting(1, 2, 2),
];

/// Each row: the failure it guards against, the preparing steps and the steps of the test, for two
/// nodes that share a limit of 4. The limit is checked after each step.
#[test]
#[rustfmt::skip] // one row per fault
fn faults_break_no_guarantee() {
    let table: &[(&str, &[Step], &[Step])] = &[
        ("a lost reply blocks the permits after the borrower has given up", &[], &[
            RunExpecting(1, 3, 2), Tick(1), Deliver(0), Lose(0), RunExpecting(0, 2, 1),
            Advance(600), Tick(1), Deliver(0), RunExpecting(0, 1, 1)]),
        ("a lost reply and a lost return block the permits permanently", &[], &[
            RunExpecting(1, 3, 2), Tick(1), Deliver(0), Lose(0), RunExpecting(0, 2, 1),
            Advance(14_900), Tick(0), RunExpecting(0, 2, 1), Advance(200), Tick(0),
            RunExpecting(0, 2, 1)]),
        ("a duplicated reply is accepted twice", &[], &[
            RunExpecting(1, 2, 2), SetWaiting(1, 1), Tick(1), Deliver(0), Duplicate(0), DeliverAll,
            RunExpecting(1, 2, 1)]),
        ("a duplicated request makes two loans", &[], &[
            RunExpecting(1, 3, 2), Tick(1), Duplicate(0), DeliverAll, RunExpecting(0, 2, 1),
            RunExpecting(1, 2, 1)]),
        ("a duplicated request that arrives after the return makes a loan that nobody uses", &[], &[
            RunExpecting(1, 2, 2), SetWaiting(1, 1), Tick(1), Duplicate(0), Deliver(0), Deliver(1),
            Advance(2_600), Tick(1), Deliver(1), DeliverAll, RunExpecting(0, 2, 2)]),
        ("a duplicated reply states a version that the lender did not know when it lent", &[], &[
            Propose(2, 3, 10), Commit, Install(1), SetWaiting(1, 3), Tick(1), Duplicate(0),
            Deliver(0), Lose(1), Install(0), DeliverAll, RunExpecting(1, 2, 1)]),
        ("a reply after the term starts a new term", &[], &[
            RunExpecting(1, 3, 2), Tick(1), Deliver(0), Advance(5_100), Deliver(0),
            RunExpecting(1, 1, 0)]),
        ("a late reply to a renewal starts a new term", &LEND_ALL, &[
            Advance(2_600), Tick(1), Deliver(0), Advance(5_100), Deliver(0), End(1), End(1), End(1),
            End(1), RunExpecting(1, 4, 2)]),
        ("the reply to an earlier renewal counts for a later one", &LEND_ALL, &[
            Advance(2_600), Tick(1), Deliver(0), Advance(2_000), Tick(1), Lose(1), Deliver(0),
            Advance(500), End(1), End(1), End(1), End(1), RunExpecting(1, 4, 2)]),
        ("a renewal after the term does not cover running units again", &LEND_ALL, &[
            Advance(5_100), Tick(1), DeliverAll, Advance(4_800), RunExpecting(0, 2, 0), End(1),
            End(1), End(1), End(1), RunExpecting(1, 4, 4)]),
        ("the lender forgets units that run on after the borrower crashed", &LEND_ALL, &[
            Advance(4_000), End(1), End(1), End(1), End(1), RunExpecting(1, 4, 4), Restart(1),
            Advance(9_900), Tick(0), RunExpecting(0, 2, 0), Advance(1_200), Tick(0),
            RunExpecting(0, 2, 2)]),
        ("a restarted lender uses permits that it lent in its previous incarnation", &LEND_ALL, &[
            Restart(0), InstallNewest(0), RunExpecting(0, 2, 0), Propose(4, 3, 10), Commit, Sync,
            Sync, RunExpecting(0, 2, 0), Advance(13_100), Sync, Sync, RunExpecting(0, 2, 2)]),
        ("a unit starts under a loan that expired during a pause", &[], &[
            RunExpecting(1, 2, 2), SetWaiting(1, 2), Tick(1), DeliverAll, Take(1), Pause(1),
            Advance(6_000), Resume(1), Start(1), RunExpecting(1, 1, 0)]),
        ("permits of a removed voter are given away while its units run", &[], &[
            RunExpecting(0, 2, 2), Propose(4, 2, 10), Commit, Sync, Sync, RunExpecting(1, 4, 2),
            End(0), Sync, RunExpecting(1, 4, 0), End(0), Sync, RunExpecting(1, 4, 2)]),
        ("permits of a silent voter are given away before its last unit must have ended", &[], &[
            Propose(4, 2, 10), Commit, Install(1), Advance(2_900), RunExpecting(0, 2, 2),
            Advance(7_200), Tick(1), RunExpecting(1, 4, 2), Advance(3_000), Tick(1),
            RunExpecting(1, 4, 2)]),
        ("the longer run of an earlier version is ignored once a later version is closed", &[], &[
            RunExpecting(0, 2, 2), Propose(4, 3, 5), Commit, Sync, Sync, Restart(0),
            Propose(4, 2, 5), Commit, Install(1), Advance(8_100), Tick(1), RunExpecting(1, 4, 2)]),
        ("a unit under a loan runs longer than the lender accepted", &[], &[
            RunExpecting(1, 2, 2), SetWaiting(1, 2), Tick(1), DeliverAll, Propose(4, 3, 20), Commit,
            Sync, Sync, Advance(4_900), RunExpecting(1, 2, 2), Advance(10_200), Tick(0),
            RunExpecting(0, 2, 2), RunExpecting(1, 2, 2)]),
        ("units start while more run than a lowered limit", &[], &[
            RunExpecting(0, 2, 2), RunExpecting(1, 2, 2), Propose(2, 3, 10), Commit, Sync, Sync,
            End(0), RunExpecting(0, 1, 0), End(0), RunExpecting(0, 2, 1), End(1), End(1),
            RunExpecting(1, 2, 1)]),
        ("a taken permit starts a unit after the limit was lowered", &[], &[
            Take(0), Take(0), Propose(2, 3, 10), Commit, Sync, Start(0), RunExpecting(0, 1, 0)]),
        ("a renewal extends a loan beyond what a lowered limit allows", &LEND_ALL, &[
            Propose(2, 3, 10), Commit, Install(0), Install(1), Tick(1), DeliverAll, End(1), End(1),
            End(1), End(1), RunExpecting(1, 4, 2)]),
        ("a raised limit is not usable once all voters know it", &[], &[
            RunExpecting(0, 2, 2), Propose(8, 3, 10), Commit, Sync, Sync, RunExpecting(0, 4, 2)]),
        ("a raised limit is used while a voter may not know of it", &[], &[
            RunExpecting(0, 4, 2), Propose(8, 3, 10), Commit, Install(0), RunExpecting(0, 4, 0)]),
        ("a lender that needs its permits gets none back", &LEND_ALL, &[
            RunExpecting(0, 1, 0), Advance(2_600), RunExpecting(0, 1, 0), Tick(1), DeliverAll,
            Advance(300), Tick(1), DeliverAll, RunExpecting(0, 1, 0), End(1), End(1), End(1),
            End(1), Tick(1), DeliverAll, RunExpecting(0, 1, 1)]),
        ("a re-added voter counts as settled in a version that it skipped", &[], &[
            RunExpecting(0, 2, 2), Propose(4, 2, 10), Commit, Install(1), Propose(4, 3, 10), Commit,
            InstallNewest(0), Report(0), DeliverAll, RunExpecting(1, 4, 2)]),
        ("a re-added voter counts as settled although it fits only the last version", &[], &[
            RunExpecting(0, 2, 2), Propose(4, 2, 10), Commit, Install(1), Propose(4, 3, 10), Commit,
            Install(0), Install(0), Report(0), DeliverAll, RunExpecting(1, 4, 2)]),
        ("a voter that skipped a version uses a quota that a peer still uses", &[], &[
            Propose(4, 2, 10), Commit, Install(1), Advance(13_100), Tick(1), RunExpecting(1, 4, 4),
            Propose(4, 3, 10), Commit, InstallNewest(0), RunExpecting(0, 2, 0)]),
        ("a loan is used although the lender did not know of the lowered limit", &[], &[
            Propose(2, 3, 10), Commit, Install(1), Advance(13_100), SetWaiting(1, 3), Tick(1),
            DeliverAll, RunExpecting(1, 2, 1)]),
        ("a loan is used although the lender did not know of a pending change", &[], &[
            Propose(2, 3, 10), Prepare(1), Commit, Advance(13_100), SetWaiting(1, 3), Tick(1),
            DeliverAll, RunExpecting(1, 3, 1)]),
        ("an abandoned change is taken for the committed one with the same number", &[], &[
            Propose(4, 3, 20), Prepare(0), Propose(2, 3, 10), Commit, Install(1), Advance(13_100),
            SetWaiting(1, 3), Tick(1), DeliverAll, RunExpecting(1, 2, 1)]),
        ("an abandoned change keeps quotas small", &[], &[
            Propose(2, 3, 10), Prepare(0), RunExpecting(0, 2, 1), Abandon(0),
            RunExpecting(0, 2, 1)]),
        ("a lender that shuts down reports that it has no permits in use or lent", &LEND_ALL, &[
            Retire(0), Report(0), DeliverAll, Propose(4, 2, 10), Commit, Install(1),
            RunExpecting(1, 4, 0)]),
        ("an instance that shuts down lends", &[], &[
            Retire(0), RunExpecting(1, 3, 2), Tick(1), DeliverAll, RunExpecting(1, 1, 0),
            RunExpecting(0, 1, 0)]),
        ("an instance that shuts down keeps loans", &LEND_ALL, &[
            End(1), End(1), End(1), End(1), Retire(1), DeliverAll, RunExpecting(0, 2, 2)]),
        ("permits of an instance that shut down are blocked", &[], &[
            Retire(0), Report(0), DeliverAll, Restart(0), Propose(4, 2, 10), Commit, Install(1),
            Tick(1), RunExpecting(1, 4, 4)]),
    ];
    for (fault, before, steps) in table {
        println!("{fault}"); // shown when the row fails
        let mut simulation = Simulation::new(2, 4);
        for step in before.iter().chain(*steps) {
            simulation.apply(*step);
            assert!(
                simulation.limit_is_respected(),
                "{fault}: {} run after {step:?}",
                simulation.running()
            );
        }
    }
}

/// Guards against a quota that grows on the reports of the known voters while a voter of a skipped
/// version still uses the permits.
#[test]
fn skipped_version_may_have_had_other_voters() {
    let mut simulation = Simulation::new(3, 4);
    let steps = [
        [Propose(4, 0b011, 10), Commit, Sync, Sync, Sync, Pause(0)],
        [
            Propose(4, 0b100, 10),
            Commit,
            Install(1),
            Install(2),
            Advance(13_100),
            Tick(2),
        ],
        [
            RunExpecting(2, 4, 4),
            Propose(4, 0b011, 10),
            Commit,
            Install(1),
            Resume(0),
            InstallNewest(0),
        ],
        [
            Report(1),
            DeliverAll,
            Tick(0),
            RunExpecting(0, 2, 0),
            Advance(13_100),
            Tick(0),
        ],
    ];
    for step in steps.into_iter().flatten().chain([RunExpecting(0, 2, 2)]) {
        simulation.apply(step);
        assert!(
            simulation.limit_is_respected(),
            "{} run after {step:?}",
            simulation.running()
        );
    }
}

/// Guards against use of a loan from a lender that does not know of a change, while a peer has
/// already been given the same permits by that change.
#[test]
fn permits_of_an_unaware_lender_move_only_once() {
    for learn in [Install(2), Prepare(2)] {
        let mut simulation = Simulation::new(3, 6);
        let steps = [
            [
                Propose(6, 0b110, 10),
                Prepare(2),
                Commit,
                Install(1),
                Advance(13_100),
                Tick(1),
            ],
            [
                RunExpecting(1, 3, 3),
                Take(2),
                Take(2),
                SetWaiting(2, 2),
                Tick(2),
                DeliverAll,
            ],
            [
                Advance(60),
                Tick(2),
                DeliverAll,
                learn,
                Start(2),
                RunExpecting(2, 2, 0),
            ],
        ];
        for step in steps.into_iter().flatten() {
            simulation.apply(step);
            assert!(
                simulation.limit_is_respected(),
                "{} run after {step:?}",
                simulation.running()
            );
        }
    }
}

/// Guards against a quota that grows because a peer reports a version as closed whose quotas are
/// not known here.
#[test]
fn closure_of_an_unknown_version_is_not_used_early() {
    let (mut ledger, now) = (Ledger::example(2, 10), Simulation::new(1, 1).now);
    let peer = ledger.peer_id(&Voter::new("b", 1));
    ledger.install(&Terms::example(2, 2, 20), now);
    let report = Report {
        closed: 3,
        ..Report::default()
    };
    ledger.apply_report(peer, report, now + Duration::from_secs(1));
    assert_eq!(ledger.quota(WORKSPACE), 5);
    ledger.install(&Terms::example(3, 2, 20), now + Duration::from_secs(1));
    assert_eq!(ledger.quota(WORKSPACE), 10);
}
