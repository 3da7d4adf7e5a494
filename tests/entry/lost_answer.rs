use crate::instance::{start_instance, wait_until};
use crate::mode::Mode;
use crate::platform::{ONE, id, start_platform, store_job};

/// Guards against a takeover whose answer is lost: the instance held the leadership without knowing
/// it, and nobody led until the row counted as outdated (rule LOST).
#[tokio::test(flavor = "multi_thread")]
async fn leads_after_a_takeover_whose_answer_is_lost() {
    let (store, address, worker) = start_platform().await;
    store_job(&store, ONE, "lasting");
    store.set_mode(Mode::ResponseLost);
    let instance = start_instance("lost-answer", address);
    wait_until("the leader row is written", || {
        store.read("leaders", "owner").is_some()
    })
    .await;
    store.set_mode(Mode::Normal);
    instance.wait_for_state(ONE, "running").await;
    let leader = store.read("leaders", "owner").unwrap();
    assert_eq!(leader["token"], 1, "{leader}");
    assert_eq!(worker.starts_of(id(ONE)), 1);
}
