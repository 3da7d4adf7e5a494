use crate::scenario::Scenario;
use crate::world::World;

fn check(seed: u64) {
    assert_eq!(World::new(Scenario::random(seed)).run().err(), None);
}

/// Guards against a leader that takes a lease as expired which a newer leader has renewed: it had
/// lost the store and the worker, and started the task elsewhere.
#[test]
fn a_leader_without_the_store_does_not_take_leases_as_expired() {
    check(1049);
    check(1058);
}

/// Guards against leases granted to a worker that the stored row calls silent: the next leader took
/// them as expired by the time in that row.
#[test]
fn a_worker_that_is_stored_as_silent_gets_no_lease() {
    check(377);
    check(406);
    check(408);
}
