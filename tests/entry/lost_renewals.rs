use std::time::Duration;

use crate::instance::{start_instance, wait_until};
use crate::leader_write::LeaderWrite;
use crate::mode::Mode;
use crate::platform::start_platform;

/// Shortest time from the last write of a leader until another instance may take over.
const TAKEOVER_AFTER: Duration = Duration::from_millis(1_800);

/// Time in which a takeover that comes too early takes place.
const OBSERVED_FOR: Duration = Duration::from_secs(6);

/// Guards against two leaders after renewals without an answer: the later ones bore the number of
/// the first, and other instances took none of them for a sign of life (rule TWICE).
#[tokio::test(flavor = "multi_thread")]
async fn takes_over_no_earlier_because_renewals_have_no_answer() {
    let (store, address, _worker) = start_platform().await;
    let _first = start_instance("lost-renewals-1", address);
    let _second = start_instance("lost-renewals-2", address);
    let has_renewed = || store.leader_writes().len() > 4;
    wait_until("the leader renews its leadership", has_renewed).await;
    store.set_mode(Mode::Unanswered);
    tokio::time::sleep(OBSERVED_FOR).await;
    let writes = store.leader_writes();
    let is_takeover = |pair: &&[LeaderWrite]| pair[0].token != pair[1].token;
    for pair in writes.windows(2).filter(is_takeover) {
        let silence = pair[1].at - pair[0].at;
        assert!(silence >= TAKEOVER_AFTER, "{silence:?} between {pair:?}");
    }
}
