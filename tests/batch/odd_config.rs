use coriandernotch::batch::{Config, State};
use coriandernotch::platform::api::{Intent, decode_intent};

use crate::simulation::{Simulation, profile, record, step};

/// Rows of routes and workspaces with numbers that no real configuration has.
const ODD_CONFIGS: [&str; 6] = [
    r#"{"routes":[{"name":"q","service":"s","public":true,"stretch":1e300}]}"#,
    r#"{"routes":[{"name":"q","service":"s","public":true,"stretch":-1e300}]}"#,
    r#"{"routes":[{"name":"q","service":"s","public":true,"stretch":1.6,
        "targetDurationMs":18446744073709551615}]}"#,
    r#"{"routes":[{"name":"q","service":"s","public":true,"priority":4294967295,"maxAttempts":4294967295}]}"#,
    r#"{"routes":[{"name":"q","service":"s","public":true},
        {"name":"r","service":"t","advice":{"decideMs":18446744073709551615,
        "eachMs":18446744073709551615,"validMs":18446744073709551615}}]}"#,
    r#"{"routes":[{"name":"q","service":"s","public":true}],
        "tenants":[{"name":"w","weight":1e300,"maximum":{"cpu":18446744073709551615}}]}"#,
];

fn decode(row: &str) -> Config {
    match decode_intent("config", row.as_bytes()) {
        Some(Intent::Config(config)) => *config,
        _ => panic!("not a configuration: {row}"),
    }
}

/// Guards against a configuration whose numbers overflow a product: it is stored, so each new
/// leader ended in the same way.
#[test]
fn leads_on_with_odd_configurations() {
    for row in ODD_CONFIGS {
        let mut sim = Simulation::new(1, decode(row));
        for id in ["i-0", "i-1"] {
            sim.add(profile(id, "s"));
        }
        sim.add(profile("i-2", "t"));
        sim.run(50);
        sim.accept("j", record(vec![step(2)]));
        let mut advised = record(vec![step(1)]);
        (advised.route, advised.service) = ("r".into(), "t".into());
        sim.accept("advised", advised);
        sim.engine.next_question(sim.now);
        sim.run(2_000);
        assert_eq!(sim.ended["j"].0, State::Completed, "{row}");
    }
}
