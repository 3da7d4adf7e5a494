//! How calls to the store and to workers are carried, with the faults of the moment.

use std::time::Duration;

use crate::answer::Answer;
use crate::event::Event;
use crate::fault::Fault;
use crate::page::Page;
use crate::purpose::Purpose;
use crate::request::Request;
use crate::row::Row;
use crate::store_call::StoreCall;
use crate::table::Table;
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
            read: None,
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
        let call = Box::new(call);
        let failed = |call| Event::StoreReply(call, Answer::Failed);
        match fault {
            None => self.queue.push(arrival, Event::StoreArrival(call, true)),
            Some(Fault::Refused) => self.queue.push(arrival, failed(call)),
            Some(Fault::Silent) => self.queue.push(timeout, failed(call)),
            Some(Fault::Slow(delay)) => {
                let delay = if is_read { delay / 2 } else { delay };
                let done = Event::StoreArrival(call, true);
                self.queue.push(arrival + delay, done);
            }
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

    /// Carries out a call in the store at the moment at which it arrives there.
    pub(crate) fn deliver_to_store(&mut self, call: StoreCall, answered: bool) {
        let answer = self.store.execute(&call.request);
        if let (Answer::Applied(_), Request::Write(transaction)) = (&answer, &call.request) {
            let puts = transaction.puts.clone();
            self.audit_completions(&puts);
        }
        if answered {
            let at = self.now + self.random.ms(TRANSMISSION_MS);
            self.queue
                .push(at, Event::StoreReply(Box::new(call), answer));
        }
    }

    /// Adds a page to those read before, and asks for the next one unless it is the last. Returns
    /// all rows after the last page; any other answer is returned unchanged.
    pub(crate) fn collect_pages(&mut self, call: &StoreCall, answer: Answer) -> Option<Answer> {
        let (Answer::Rows(page), Request::Read(table, _)) = (answer.clone(), &call.request) else {
            return Some(answer);
        };
        let Some(mut read) = call.read.clone() else {
            return self.read_on(call, *table, page);
        };
        // A page begins with the last row of the one before, unless that row was deleted.
        let last_key = read.rows.last().map(|row| row.key.clone());
        let is_new = |row: &Row| Some(&row.key) != last_key.as_ref();
        read.rows.extend(page.rows.into_iter().filter(is_new));
        read.has_more = page.has_more;
        self.read_on(call, *table, read)
    }

    /// Asks for the page after those that were read, or returns them if they are all.
    fn read_on(&mut self, call: &StoreCall, table: Table, read: Page) -> Option<Answer> {
        if !read.has_more {
            return Some(Answer::Rows(read));
        }
        let from = read.rows.last().map(|row| row.key.clone());
        self.call_store(StoreCall {
            request: Request::Read(table, from),
            read: Some(read),
            ..call.clone()
        });
        None
    }

    /// Sends a call to a worker.
    pub(crate) fn call_worker(&mut self, call: WorkerCall) {
        let outage = self.instances[call.process.instance].worker_outages[call.worker];
        let fault = outage.and_then(|outage| outage.draw(false, self.now, &mut self.random));
        let arrival = self.now + self.random.ms(TRANSMISSION_MS);
        let timeout = self.now + call.timeout;
        let failed = |call| Event::WorkerReply(call, WorkerAnswer::None);
        match fault {
            None => self.queue.push(arrival, Event::WorkerArrival(call, true)),
            Some(Fault::Refused) => {
                let refused = Event::WorkerReply(call, WorkerAnswer::Unsent);
                self.queue.push(arrival, refused);
            }
            Some(Fault::Silent) => self.queue.push(timeout, failed(call)),
            Some(Fault::Slow(delay)) => {
                let done = Event::WorkerArrival(call, true);
                self.queue.push(arrival + delay, done);
            }
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

    /// Lets a call to a worker end without an answer.
    pub(crate) fn time_out_worker_call(&mut self, call: WorkerCall) {
        let at = self.now.max(call.sent + call.timeout);
        self.queue
            .push(at, Event::WorkerReply(call, WorkerAnswer::None));
    }

    /// Sends the answer of a worker.
    pub(crate) fn answer_worker_call(&mut self, call: WorkerCall, answer: WorkerAnswer) {
        let at = self.now + self.random.ms(TRANSMISSION_MS);
        self.queue.push(at, Event::WorkerReply(call, answer));
    }
}
