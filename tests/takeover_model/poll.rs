//! How a leader polls workers, as `src/entry/poll.rs` does.

use std::time::Duration;

use coriandernotch::batch::WorkerKey;

use crate::timer::Timer;
use crate::worker_answer::WorkerAnswer;
use crate::worker_call::WorkerCall;
use crate::worker_request::WorkerRequest;
use crate::world::World;

/// Time that the answer to a poll may take.
const POLL_TIMEOUT: Duration = Duration::from_millis(1_700);

/// Time until a poll that is not due is considered again.
const IDLE_DELAY: Duration = Duration::from_millis(150);

/// Delays after a poll: usually, while an end is not stored, and after a failure.
const BATCH_DELAY: Duration = Duration::from_millis(25);
const STORE_PAUSE: Duration = Duration::from_millis(50);
const RETRY_DELAY: Duration = Duration::from_millis(200);

impl World {
    /// Polls a worker if the engine needs it.
    pub(crate) fn poll(&mut self, instance: usize, key: WorkerKey) {
        let now = self.now;
        let may_send = self.may_send_orders(instance);
        let opened_at = self.connect(instance, key, true);
        let Some(term) = &mut self.instances[instance].term else {
            return;
        };
        let Some(opened_at) = opened_at else {
            return;
        };
        if !may_send || !term.engine.needs_poll(key) {
            return self.set_timer(instance, IDLE_DELAY, Timer::Poll(key));
        }
        let request = WorkerRequest::Poll(term.engine.renewal(key, opened_at, now));
        self.call(instance, key, request, opened_at, POLL_TIMEOUT);
    }

    pub(crate) fn finish_poll(&mut self, call: &WorkerCall, answer: &WorkerAnswer) {
        let (now, wall_ms) = (self.now, self.wall_ms());
        let (instance, key) = (call.process.instance, call.key);
        let Some(term) = &mut self.instances[instance].term else {
            return;
        };
        let engine = &mut term.engine;
        let mut must_renew = false;
        let pause = match answer {
            WorkerAnswer::Snapshot(snapshot) => {
                engine.process_poll(key, snapshot, call.sent, wall_ms, now);
                must_renew = engine.is_unstored_member(key);
                if engine.has_unstored_ends(key) {
                    STORE_PAUSE
                } else {
                    BATCH_DELAY
                }
            }
            WorkerAnswer::Fenced => return self.end_term(instance),
            WorkerAnswer::Replaced => {
                engine.record_replaced_process(key, call.sent, now);
                RETRY_DELAY
            }
            _ => {
                engine.record_no_answer(key);
                RETRY_DELAY
            }
        };
        if must_renew {
            self.renew(instance);
        }
        self.wake_scheduler(instance);
        self.set_timer(instance, pause, Timer::Poll(key));
    }
}
