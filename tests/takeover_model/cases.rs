use crate::scenario::Scenario;
use crate::violation::Violation;
use crate::world::World;

/// Number of failed cases that are printed.
const MAX_PRINTED: usize = 3;

/// Runs all scenarios and fails if one of them breaks a rule.
pub(crate) fn check_all(scenarios: impl IntoIterator<Item = Scenario>) {
    let mut count = 0;
    let mut failures: Vec<(Scenario, Violation)> = Vec::new();
    for scenario in scenarios {
        count += 1;
        if let Err(violation) = World::new(scenario.clone()).run() {
            failures.push((scenario, violation));
        }
    }
    for (scenario, violation) in failures.iter().take(MAX_PRINTED) {
        eprintln!("{violation:?}: {scenario:?}");
    }
    assert!(
        failures.is_empty(),
        "{} of {count} cases failed",
        failures.len()
    );
}
