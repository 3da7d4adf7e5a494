//! What a scenario does to instances, the store and workers.

use std::time::Duration;

use crate::action::{Action, Target};
use crate::ending::Ending;
use crate::event::Event;
use crate::outage::Outage;
use crate::world::World;

/// Time within which another instance has taken over after a transfer.
const TRANSFER_TIME: Duration = Duration::from_secs(2);

/// Time after which a process that stops is killed.
const GRACE: Duration = Duration::from_secs(4);

impl World {
    pub(crate) fn act(&mut self, action: Action) {
        match action {
            Action::Crash(away) => self.crash(self.leader(), away),
            Action::Resign(away) => self.stop(self.leader(), away),
            Action::Transfer => self.transfer(),
            Action::DisturbStore {
                target,
                fault,
                percent,
                spares_reads,
                lasts,
            } => {
                let outage = Outage {
                    fault,
                    percent,
                    spares_reads,
                    until: self.now + lasts,
                };
                for instance in self.targets(target) {
                    self.instances[instance].store_outage = Some(outage);
                }
                self.expect_fault(lasts);
                self.expect_late_calls(lasts + fault.delay());
            }
            Action::DisturbWorker {
                target,
                worker,
                fault,
                percent,
                lasts,
            } => {
                let outage = Outage {
                    fault,
                    percent,
                    spares_reads: false,
                    until: self.now + lasts,
                };
                for instance in self.targets(target) {
                    self.instances[instance].worker_outages[worker] = Some(outage);
                }
                self.expect_fault(lasts);
                self.expect_late_calls(lasts + fault.delay());
            }
            Action::DisturbMachineList {
                target,
                fault,
                percent,
                lasts,
            } => {
                let outage = Outage {
                    fault,
                    percent,
                    spares_reads: false,
                    until: self.now + lasts,
                };
                for instance in self.targets(target) {
                    self.instances[instance].machines_outage = Some(outage);
                }
                self.expect_fault(lasts);
            }
            Action::LoseWorker {
                worker,
                listed_for,
                registered_for,
            } => {
                self.lose_worker(worker, listed_for, registered_for);
                self.expect_fault(Duration::ZERO);
            }
            Action::DiscardHistory => self.store.discard_history(),
            Action::ExpireRegistration { worker, lasts } => {
                let process = &mut self.workers[worker];
                process.unlisted_until = self.now + lasts;
                let (id, born_ms) = (process.id.clone(), process.born_ms);
                self.unlist(id, born_ms);
                self.expect_fault(lasts);
            }
            Action::RestartWorker {
                worker,
                down,
                keeps_id,
                silent,
            } => {
                self.stop_worker(worker, down, keeps_id, silent);
                self.expect_fault(down);
            }
        }
    }

    /// Returns the instance that leads with the highest fencing token, or any if none leads.
    fn leader(&self) -> usize {
        let leading = self.instances.iter().filter(|i| i.term.is_some());
        let leader = leading.max_by_key(|instance| instance.leader.token);
        leader.map_or(0, |instance| instance.process.instance)
    }

    fn targets(&self, target: Target) -> Vec<usize> {
        let leader = self.leader();
        let is_targeted = |instance: &usize| match target {
            Target::Leader => *instance == leader,
            Target::Followers => *instance != leader,
            Target::All => true,
        };
        (0..self.instances.len()).filter(is_targeted).collect()
    }

    /// Kills an instance that starts again after `away`.
    pub(crate) fn crash(&mut self, instance: usize, away: Duration) {
        if !self.instances[instance].up {
            return;
        }
        self.instances[instance].replace_process(false);
        self.queue
            .push(self.now + away, Event::StartInstance(instance));
        self.expect_fault(away);
    }

    pub(crate) fn start_instance(&mut self, instance: usize) {
        self.instances[instance].replace_process(true);
        self.set_timer(instance, Duration::ZERO, crate::timer::Timer::Follow);
    }

    /// Stops an instance in an orderly way. A leader stores its changes and resigns.
    fn stop(&mut self, instance: usize, away: Duration) {
        let entry = &mut self.instances[instance];
        if entry.term.is_none() {
            return self.crash(instance, away);
        }
        // Ends the tasks of the term, but not the term itself.
        entry.process.term += 1;
        let process = entry.process;
        self.queue
            .push(self.now + GRACE, Event::Kill(process, away));
        self.expect_fault(away + GRACE);
        self.begin_last_flush(instance, Ending::Stop(away));
    }

    /// Lets the leader make way for another instance, also while it loads its state.
    fn transfer(&mut self) {
        let loading = self.instances.iter().position(|i| i.loading.is_some());
        let instance = loading.unwrap_or_else(|| self.leader());
        let to = (instance + 1) % self.instances.len();
        let to = self.instances[to].name.clone();
        let entry = &mut self.instances[instance];
        if loading.is_some() {
            return self.make_way(instance, to);
        }
        if entry.term.as_ref().is_none_or(|term| term.ending.is_some()) {
            return;
        }
        entry.process.term += 1;
        self.expect_fault(TRANSFER_TIME);
        self.begin_last_flush(instance, Ending::Transfer(to));
    }
}
