use crate::scenario::Scenario;
use crate::world::World;

fn check(seed: u64) {
    assert_eq!(World::new(Scenario::random(seed)).run().err(), None);
}

/// Guards against a leader that takes a lease as expired which a newer leader has renewed: it had
/// lost the store and the worker, and started the task elsewhere.
#[test]
fn a_leader_without_the_store_does_not_take_leases_as_expired() {
    check(0);
    check(439);
}

/// Guards against taking a process for replaced by one that has its id: the previous leader had not
/// noticed the restart and had started a task on the new process.
#[test]
fn a_process_with_the_same_id_does_not_replace_its_predecessor() {
    check(125);
}

/// Guards against leases granted to a worker that the stored row calls silent: the next leader took
/// them as expired by the time in that row.
#[test]
fn a_worker_that_is_stored_as_silent_gets_no_lease() {
    check(377);
}

/// Guards against a leader without the store that starts the tasks of a restarted worker again: a
/// newer leader had read their ends before.
#[test]
fn a_leader_without_the_store_does_not_give_up_restarted_workers() {
    check(2076);
}

/// Guards against taking the runs of a restarted worker as ended too early: a poll of the old
/// process reached the new one, which shortened its deadline only to the longest lease.
#[test]
fn a_restarted_worker_may_hold_the_longest_lease() {
    check(4820);
}
