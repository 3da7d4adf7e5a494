//! How calls to the store and to workers are carried, with the faults of the moment.

use std::time::Duration;

use crate::answer::Answer;
use crate::event::Event;
use crate::fault::Fault;
use crate::purpose::Purpose;
use crate::request::Request;
use crate::store_call::StoreCall;
use crate::worker_answer::WorkerAnswer;
use crate::worker_call::WorkerCall;
use crate::world::World;

/// Time that a message takes, in milliseconds.
pub(crate) const TRANSMISSION_MS: std::ops::Range<u64> = 1..8;

/// Timeout of a call to the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_200);

impl World {
    pub(crate) fn store_call(
        &self,
        instance: usize,
        purpose: Purpose,
        request: Request,
    ) -> StoreCall {
        StoreCall {
            process: self.instances[instance].process,
            purpose,
            request,
            timeout: STORE_TIMEOUT,
            sent: self.now,
        }
    }

    /// Sends a call to the store.
    pub(crate) fn call_store(&mut self, call: StoreCall) {
        let instance = &self.instances[call.process.instance];
        let is_read = !call.request.is_write();
        let outage = instance.store_outage;
        let fault = outage.and_then(|outage| outage.draw(is_read, self.now, &mut self.random));
        let arrival = self.now + self.random.ms(TRANSMISSION_MS);
        let timeout = self.now + call.timeout;
        let failed = |call| Event::StoreReply(call, Answer::Failed);
        match fault {
            None => self.queue.push(arrival, Event::StoreArrival(call, true)),
            Some(Fault::Refused) => self.queue.push(arrival, failed(call)),
            Some(Fault::Silent) => self.queue.push(timeout, failed(call)),
            Some(Fault::Lost) => {
                self.queue.push(timeout, failed(call.clone()));
                self.queue.push(arrival, Event::StoreArrival(call, false));
            }
            Some(Fault::Late(delay)) => {
                let late = arrival + delay;
                self.queue.push(timeout, failed(call.clone()));
                self.queue.push(late, Event::StoreArrival(call, false));
            }
        }
    }

    /// Sends a call to a worker, which must answer within `timeout`.
    pub(crate) fn call_worker(&mut self, call: WorkerCall, timeout: Duration) {
        let outage = self.instances[call.process.instance].worker_outages[call.worker];
        let fault = outage.and_then(|outage| outage.draw(false, self.now, &mut self.random));
        let arrival = self.now + self.random.ms(TRANSMISSION_MS);
        let timeout = self.now + timeout;
        let failed = |call| Event::WorkerReply(call, WorkerAnswer::None);
        match fault {
            None => self.queue.push(arrival, Event::WorkerArrival(call, true)),
            Some(Fault::Refused) => {
                let refused = Event::WorkerReply(call, WorkerAnswer::Unsent);
                self.queue.push(arrival, refused);
            }
            Some(Fault::Silent) => self.queue.push(timeout, failed(call)),
            Some(Fault::Lost) => {
                self.queue.push(timeout, failed(call.clone()));
                self.queue.push(arrival, Event::WorkerArrival(call, false));
            }
            Some(Fault::Late(delay)) => {
                let late = arrival + delay;
                self.queue.push(timeout, failed(call.clone()));
                self.queue.push(late, Event::WorkerArrival(call, false));
            }
        }
    }

    /// Sends the answer of a worker.
    pub(crate) fn answer_worker_call(&mut self, call: WorkerCall, answer: WorkerAnswer) {
        let at = self.now + self.random.ms(TRANSMISSION_MS);
        self.queue.push(at, Event::WorkerReply(call, answer));
    }
}
