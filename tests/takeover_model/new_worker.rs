use crate::action::Action;
use crate::job::Job;
use crate::kind::Kind;
use crate::scenario::{Scenario, ms};
use crate::world::World;

/// Guards against a start on a worker that the next leader cannot know: the leader reads its
/// registration but cannot store it as a member, and the registration expires before the takeover.
#[test]
fn nothing_starts_on_a_worker_that_is_not_stored() {
    let unlist = |worker, lasts| Action::ExpireRegistration { worker, lasts };
    let replace = Action::replace_worker(0, ms(100));
    let lose_writes = Action::lose_writes_of_leader(ms(9_000));
    let job = Job {
        at: ms(6_080),
        tasks: 1,
        steps: 1,
        run_time: ms(8_000),
        kind: Kind::Plain,
    };
    let scenario = Scenario {
        jobs: vec![job],
        actions: vec![
            (ms(10), unlist(1, ms(7_500))),
            (ms(6_000), replace),
            (ms(6_050), lose_writes),
            (ms(6_900), unlist(0, ms(10_000))),
        ],
        ..Scenario::quiet(1)
    };
    assert_eq!(World::new(scenario).run().err(), None);
}
