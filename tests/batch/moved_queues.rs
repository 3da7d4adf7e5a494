//! Queues that operators move to another service while their tasks run.

use std::sync::Arc;

use coriandernotch::batch::{Config, Member, QueueService};

use crate::simulation::{Simulation, config, lasting, profile, route};
use crate::takeover::running_progress;

/// Returns a configuration that sends the queue `q` to a service.
fn config_with(version: u64, service: &str) -> Arc<Config> {
    Arc::new(Config {
        version,
        routes: vec![route("q", service)],
        ..config()
    })
}

/// Creates the simulation of a leader with a worker of each of three services and a job of one task.
fn first_leader() -> Simulation {
    let mut sim = Simulation::new(1, config());
    for service in ["s", "t", "u"] {
        sim.add(profile(&format!("i-{service}"), service));
    }
    sim.run(50);
    sim.renew();
    sim.accept("j", lasting(1));
    sim
}

/// Creates the simulation of the next leader, which reads a list of services from the row of the
/// last one and does not reach one worker.
fn next_leader(
    old: &Simulation,
    config: &Config,
    services: Vec<QueueService>,
    silent: &str,
) -> Simulation {
    let mut sim = Simulation::new(2, config.clone());
    sim.now = old.now;
    sim.workers = old.workers.clone();
    sim.workers.get_mut(silent).unwrap().silent = true;
    let (wall, now) = (sim.wall_ms(), sim.now);
    let progress = Some(running_progress());
    sim.engine
        .load_job(&"j".into(), lasting(1), progress, wall, now);
    let profiles = ["s", "t", "u"].map(|service| profile(&format!("i-{service}"), service));
    let members = profiles.iter().map(Member::from).collect();
    for profile in profiles {
        sim.engine.update_worker(profile);
    }
    sim.engine.restore_members(members);
    sim.engine.restore_queue_services(services);
    sim.engine.inherit(&[], false, sim.now);
    sim
}

/// Guards against starting a running task again because its queue has moved: the new leader waited
/// only for the workers of the service to which the queue belongs now (rule TWICE).
#[test]
fn a_new_leader_waits_for_the_workers_from_which_a_queue_has_moved() {
    let mut old = first_leader();
    old.run(100);
    assert_eq!(&*old.starts[0].0, "i-s");
    let mut sim = next_leader(&old, &config_with(2, "t"), Vec::new(), "i-s");
    sim.run(3_000);
    assert!(sim.starts.is_empty(), "{:?}", sim.starts);
    sim.workers.get_mut("i-s").unwrap().silent = false;
    sim.run(1_000);
    assert!(sim.starts.is_empty(), "{:?}", sim.starts);
    assert_eq!(sim.running(), 1);
}

/// Guards against the same fault for a queue that has moved twice: the tasks run on workers of a
/// service that neither the job nor the configuration names.
#[test]
fn a_new_leader_waits_for_the_workers_of_each_service_that_a_queue_has_used() {
    let mut old = first_leader();
    old.engine.set_config(&config_with(2, "t"));
    old.renew();
    old.run(100);
    assert_eq!(&*old.starts[0].0, "i-t");
    let services = old.engine.queue_services();
    let mut sim = next_leader(&old, &config_with(3, "u"), services, "i-t");
    sim.run(3_000);
    assert!(sim.starts.is_empty(), "{:?}", sim.starts);
}

/// Guards against a leader that crashes before the next one can know to which service the queue has
/// moved: nothing starts there until the list of such services is stored.
#[test]
fn starts_nothing_on_another_service_before_that_is_stored() {
    let mut sim = first_leader();
    sim.engine.set_config(&config_with(2, "t"));
    sim.run(300);
    assert!(sim.starts.is_empty(), "{:?}", sim.starts);
    assert!(sim.engine.has_unstored_queue_services());
    sim.renew();
    assert!(!sim.engine.has_unstored_queue_services());
    sim.run(50);
    assert_eq!(&*sim.starts[0].0, "i-t");
}

/// Guards against a list of services that grows without end.
#[test]
fn forgets_the_service_of_a_queue_that_has_moved_back() {
    let mut sim = first_leader();
    sim.engine.set_config(&config_with(2, "t"));
    sim.renew();
    sim.run(100);
    sim.engine.set_config(&config_with(3, "s"));
    let used = QueueService {
        queue: "q".into(),
        service: "t".into(),
    };
    assert_eq!(sim.engine.queue_services(), [used], "its task runs there");
    sim.workers.get_mut("i-t").unwrap().restart();
    sim.run(100);
    sim.renew();
    assert_eq!(sim.engine.queue_services(), []);
}
