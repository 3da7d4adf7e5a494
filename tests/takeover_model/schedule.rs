//! How a leader places tasks and hands out their orders, as `src/entry/schedule.rs` does.

use std::collections::VecDeque;
use std::time::Duration;

use coriandernotch::batch::WorkerKey;

use crate::handle::Handle;
use crate::timer::Timer;
use crate::world::World;

/// Delay before a round that follows an event.
const ROUND_DELAY: Duration = Duration::from_millis(3);

impl World {
    /// Places waiting tasks on workers and queues the resulting orders.
    pub(crate) fn schedule(&mut self, instance: usize) {
        let (now, wall_ms) = (self.now, self.wall_ms());
        let may_send = self.may_send_orders(instance);
        let Some(term) = &mut self.instances[instance].term else {
            return;
        };
        term.round_is_due = false;
        if !may_send {
            return;
        }
        term.engine.check_runs_and_workers(now);
        term.engine.place(now, wall_ms);
        self.update_handles(instance);
        self.dispatch(instance);
        self.plan_flushes(instance);
    }

    pub(crate) fn may_send_orders(&self, instance: usize) -> bool {
        let term = self.instances[instance].term.as_ref();
        self.is_leading(instance) && term.is_some_and(|term| term.ending.is_none())
    }

    pub(crate) fn wake_scheduler(&mut self, instance: usize) {
        if let Some(term) = &mut self.instances[instance].term
            && !std::mem::replace(&mut term.round_is_due, true)
        {
            self.set_timer(instance, ROUND_DELAY, Timer::EarlyRound);
        }
    }

    fn update_handles(&mut self, instance: usize) {
        let Some(term) = &mut self.instances[instance].term else {
            return;
        };
        let addresses = term.engine.worker_addresses();
        let is_known = |key: &WorkerKey| addresses.iter().any(|(known, ..)| known == key);
        term.handles.retain(|key, _| is_known(key));
        let mut added = Vec::new();
        for (key, id, address) in addresses {
            if term.handles.contains_key(&key) {
                continue;
            }
            let worker = address.parse().expect("the address is an index");
            let handle = Handle {
                id,
                worker,
                orders: VecDeque::new(),
                is_sending: false,
                poll_connection: None,
                order_connection: None,
            };
            term.handles.insert(key, handle);
            added.push(key);
        }
        for key in added {
            self.set_timer(instance, Duration::ZERO, Timer::Poll(key));
        }
    }

    fn dispatch(&mut self, instance: usize) {
        let Some(term) = &mut self.instances[instance].term else {
            return;
        };
        let mut woken = Vec::new();
        for (key, order) in term.engine.take_orders() {
            let Some(handle) = term.handles.get_mut(&key) else {
                continue;
            };
            handle.orders.push_back(order);
            if !std::mem::replace(&mut handle.is_sending, true) {
                woken.push(key);
            }
        }
        for key in woken {
            self.set_timer(instance, Duration::ZERO, Timer::Order(key));
        }
    }
}
