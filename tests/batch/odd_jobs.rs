use coriandernotch::batch::{Record, State};
use coriandernotch::platform::api::decode_submission;

use crate::simulation::{Simulation, record, step};

/// Jobs with numbers that no real job has.
fn odd_jobs() -> Vec<String> {
    let job = |steps: &str, rest: &str| format!(r#"{{"spec":"x","steps":[{steps}]{rest}}}"#);
    let first = r#"{"count":1,"cpu":500,"estimateMs":1e300}"#;
    let next = |number| format!(r#"{{"count":1,"estimateMs":1e300,"after":[{number}]}}"#);
    let chain: Vec<String> = (0..2_000).map(next).collect();
    let repeated = r#","runCount":4294967295,"startTimeMs":1e300,"intervalMs":1e300"#;
    vec![
        job(first, ""),
        job(&format!("{first},{}", chain.join(",")), ""),
        job(
            r#"{"count":3,"cpu":18446744073709551615,"estimateMs":900}"#,
            "",
        ),
        job(r#"{"count":4294967295,"cpu":500,"estimateMs":900}"#, ""),
        job(r#"{"count":1,"cpu":500,"estimateMs":900}"#, repeated),
        job(
            r#"{"count":1,"cpu":500,"estimateMs":900}"#,
            r#","runCount":4294967295,"startTimeMs":0,"intervalMs":0"#,
        ),
    ]
}

/// Guards against a job whose numbers overflow a sum or exhaust the memory: it is stored, so each
/// new leader ended in the same way.
#[test]
fn leads_on_with_odd_jobs() {
    let mut sim = Simulation::with_workers(2);
    for (number, body) in odd_jobs().iter().enumerate() {
        if let Ok(spec) = decode_submission(body.as_bytes()) {
            let odd = Record {
                spec,
                ..record(vec![step(1)])
            };
            sim.accept(&format!("odd-{number}"), odd);
        }
        let good = format!("good-{number}");
        let arriving = Record {
            arrived_ms: sim.wall_ms(),
            ..record(vec![step(1)])
        };
        sim.accept(&good, arriving);
        sim.engine.plan_moves(sim.now);
        sim.run(2_000);
        assert_eq!(sim.ended[&*good].0, State::Completed, "beside job {number}");
    }
}
