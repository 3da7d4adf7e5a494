use std::time::Duration;

use super::simulation::{Simulation, WORKSPACE};
use super::step::Step;

/// Guards against permits that stay at nodes without demand: with 8 or 60 nodes, one-way delays of
/// 20 ms and demand at one node only, 95% of the limit must run there within 2 s.
#[test]
fn one_node_gets_the_limit_within_two_seconds() {
    for (limit, earlier_units, nodes) in [
        (100, 0, 8),
        (1_000, 0, 8),
        (13, 0, 8),
        (100, 60, 8),
        (1_000, 0, 60),
    ] {
        let mut simulation = Simulation::new(nodes, limit);
        // Demand at other nodes that has ended must not keep permits there.
        for n in 1..=earlier_units as usize / 10 {
            simulation.apply(Step::RunExpecting(n, 10, 10));
            (0..10).for_each(|_| simulation.apply(Step::End(n)));
        }
        let start = simulation.now;
        let expected = limit - limit / 20;
        while simulation.running() < expected {
            simulation.apply(Step::Run(0, limit));
            let waiting = limit - simulation.running();
            simulation.nodes[0]
                .ledger
                .set_waiting(WORKSPACE, waiting, simulation.now);
            (0..nodes).for_each(|n| simulation.apply(Step::Tick(n)));
            simulation.apply(Step::Advance(20));
            (0..simulation.sent.len()).for_each(|_| simulation.apply(Step::Deliver(0)));
            simulation.apply(Step::Advance(20));
            simulation.apply(Step::DeliverAll);
            let took = simulation.now.since(start);
            let running = simulation.running();
            assert!(
                took <= Duration::from_secs(2),
                "{running} of {limit} after {took:?}"
            );
        }
        println!(
            "{nodes} nodes, limit {limit}: {:?}",
            simulation.now.since(start)
        );
    }
}

/// Guards against permits that a node keeps after its demand has ended.
#[test]
fn permits_return_to_lenders_when_demand_ends() {
    let mut simulation = Simulation::new(8, 80);
    for _ in 0..10 {
        simulation.apply(Step::Run(0, 80));
        simulation.apply(Step::SetWaiting(0, 80 - simulation.running()));
        simulation.apply(Step::Advance(60));
        simulation.apply(Step::Sync);
    }
    assert_eq!(simulation.running(), 80);
    (0..80).for_each(|_| simulation.apply(Step::End(0)));
    for _ in 0..80 {
        simulation.apply(Step::Advance(60));
        simulation.apply(Step::Sync);
    }
    assert!(
        simulation
            .nodes
            .iter()
            .all(|n| n.ledger.lent(WORKSPACE) == 0)
    );
}
