//! Arguments and figures of the command `measure`.

use coriandernotch::cli::{Command, Format};
use coriandernotch::measure::{Report, Shape};

/// Guards against wrong usage that runs something, and against defaults that change unseen.
#[test]
fn arguments_are_read_or_refused() {
    let parse = |args: &[&str]| {
        let all = ["coriandernotch", "measure"].iter().chain(args);
        Command::parse(all.map(Into::into))
    };
    let expect = |shape, seed, format| Command::Measure {
        shape,
        seed,
        format,
    };
    let right: [(&[&str], _); 2] = [
        (&[], expect(Shape::Huallaga, 1, Format::Table)),
        (
            &["--shape", "target", "--seed", "3", "--format", "json"],
            expect(Shape::Target, 3, Format::Json),
        ),
    ];
    for (args, command) in right {
        assert_eq!(parse(args).unwrap(), command, "{args:?}");
    }
    let wrong: [&[&str]; 4] = [
        &["--shape", "lima"],
        &["--format", "xml"],
        &["--hold"],
        &["--seed", "x"],
    ];
    for args in wrong {
        assert!(parse(args).is_err(), "{args:?}");
    }
}

/// Guards against figures of moves, roll-out or buffers that are missing or lack their baseline.
#[test]
fn upkeep_rows_meet_their_bounds_and_stand_next_to_baselines() {
    let mut report = Report::new(Shape::Rennes, 1);
    report.add_upkeep();
    let bounded = report.rows.iter().filter(|row| row.bound.is_some());
    assert_eq!(bounded.clone().count(), 5);
    for row in bounded {
        assert_eq!(row.is_met(), Some(true), "{}", row.name);
    }
    for name in ["moves", "roll-out", "buffer cost, idle instances"] {
        let value = |policy| report.value(name, policy).unwrap();
        assert!(value("planner") < value("naive"), "{name}");
    }
}
