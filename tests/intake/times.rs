use std::time::Duration;

use coriandernotch::intake::{Cause, Key, READ_BYTES, Stage};

use crate::scene::{BODY, Scene};

const TICK: Duration = Duration::from_millis(1);

/// Guards against each state of a connection that lasts without end.
#[test]
fn each_state_ends_in_time() {
    type Prepare = fn(&mut Scene) -> Key;
    type Limit = fn(&Scene) -> Duration;
    let cases: [(Prepare, Limit, Cause); 4] = [
        (|s| s.admit(), |s| s.ledger.limits().idle_time, Cause::Idle),
        (
            |s| {
                let key = s.admit();
                s.ledger.arrived(key, 10, s.now);
                key
            },
            |s| s.ledger.limits().head_time,
            Cause::SlowHead,
        ),
        (
            |s| s.begin(1_000),
            |s| s.ledger.limits().body_time,
            Cause::SlowBody,
        ),
        (
            |s| {
                let key = s.open();
                s.ledger.complete(key, s.now);
                s.ledger.set_blocked(key, true, s.now);
                key
            },
            |s| s.ledger.limits().write_time,
            Cause::UnreadAnswer,
        ),
    ];
    for (prepare, limit, cause) in cases {
        let mut scene = Scene::new(4, 2 * BODY);
        let key = prepare(&mut scene);
        let limit = limit(&scene);
        scene.wait(limit - TICK);
        // Bytes now and then do not prolong it.
        if matches!(scene.ledger.stage(key), Some(Stage::Head | Stage::Body)) {
            scene.ledger.arrived(key, 1, scene.now);
        }
        scene.ledger.sweep(scene.now);
        assert_eq!(scene.evicted(), [], "{cause:?}");
        scene.wait(TICK);
        scene.ledger.sweep(scene.now);
        assert_eq!(scene.evicted(), [(key, cause)]);
        scene.ledger.sweep(scene.now);
        assert_eq!(scene.evicted(), [], "told once");
    }
}

/// Guards against heads without end and against empty lines, which hyper does not count.
#[test]
fn a_head_is_bounded_in_bytes() {
    let mut scene = Scene::new(4, 2 * BODY);
    let key = scene.admit();
    let limit = scene.ledger.limits().head_bytes + READ_BYTES;
    scene.ledger.arrived(key, limit, scene.now);
    assert_eq!(scene.evicted(), []);
    scene.ledger.arrived(key, 1, scene.now);
    assert_eq!(scene.evicted(), [(key, Cause::LongHead)]);
}

/// Guards against the head of a request that is counted against the next one on its connection.
#[test]
fn each_request_begins_anew() {
    let mut scene = Scene::new(4, 2 * BODY);
    let key = scene.admit();
    for _ in 0..100 {
        scene.ledger.arrived(key, 20_000, scene.now);
        scene.ledger.open(key, scene.now);
        scene.ledger.complete(key, scene.now);
        scene.ledger.close(key, scene.now);
        assert_eq!(scene.ledger.stage(key), Some(Stage::Idle));
        scene.wait_ms(1_000);
        scene.ledger.sweep(scene.now);
    }
    assert_eq!(scene.evicted(), []);
}

/// Guards against connections with several exchanges at once, as in HTTP/2, that count as idle while
/// one of them is open, or whose frames count as a head.
#[test]
fn exchanges_at_once_end_with_the_last() {
    let mut scene = Scene::new(4, 2 * BODY);
    let key = scene.admit();
    scene.ledger.multiplex(key, scene.now);
    scene.ledger.arrived(key, 1_000_000, scene.now);
    assert_eq!(scene.ledger.stage(key), Some(Stage::Idle));
    for _ in 0..2 {
        scene.ledger.open(key, scene.now);
        scene.ledger.complete(key, scene.now);
    }
    scene.ledger.close(key, scene.now);
    assert_eq!(scene.ledger.stage(key), Some(Stage::Answer));
    scene.ledger.close(key, scene.now);
    assert_eq!(scene.ledger.stage(key), Some(Stage::Idle));
    assert_eq!(scene.evicted(), []);
}
