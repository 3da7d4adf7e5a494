//! How a leader reads the platform's list of machines, as `src/entry/maintenance.rs` does.

use std::time::Duration;

use coriandernotch::batch::Machine;

use crate::event::Event;
use crate::platform::machine_name;
use crate::timer::Timer;
use crate::worker::Worker;
use crate::world::World;

/// Time between two reads of the list.
const LIST_INTERVAL: Duration = Duration::from_secs(2);

/// Time until a leader that may not send orders tries again.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two reads while workers with runs do not answer.
const EARLY_INTERVAL: Duration = Duration::from_millis(500);

/// Time that the answer takes.
const RESPONSE_TIME: Duration = Duration::from_millis(5);

impl World {
    /// Asks for the list of machines. A call that a fault affects has no effect.
    pub(crate) fn list_machines(&mut self, instance: usize) {
        if !self.may_send_orders(instance) {
            return self.set_timer(instance, ROUND_INTERVAL, Timer::ListMachines);
        }
        let entry = &self.instances[instance];
        let process = entry.process;
        let outage = entry.machines_outage;
        let fault = outage.and_then(|outage| outage.draw(true, self.now, &mut self.random));
        if fault.is_none() {
            let list = Event::MachineList(process, self.machines());
            self.queue.push(self.now + RESPONSE_TIME, list);
        }
        let term = self.instances[instance].term.as_ref();
        let awaits_list = term.is_some_and(|term| term.engine.awaits_machine_list());
        let interval = if awaits_list {
            EARLY_INTERVAL
        } else {
            LIST_INTERVAL
        };
        self.set_timer(instance, interval, Timer::ListMachines);
    }

    pub(crate) fn set_machines(&mut self, instance: usize, machines: Vec<Machine>) {
        let now = self.now;
        if let Some(term) = &mut self.instances[instance].term {
            term.engine.set_machines(machines);
            let sent = now - RESPONSE_TIME;
            term.engine.release_runs_on_stopped_machines(sent, now);
            self.wake_scheduler(instance);
        }
    }

    fn machines(&self) -> Vec<Machine> {
        let listed = self.workers.iter();
        let listed = listed.filter(|worker| worker.has_listed_machine(self.now));
        let machine = |worker: &Worker| Machine {
            name: machine_name(worker.address),
            pool: "s".into(),
            up: worker.up || worker.is_lost(),
            processors: 4_000,
            data_centre: "a".into(),
        };
        listed.map(machine).collect()
    }
}
