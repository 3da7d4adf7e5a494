//! Figures of the small shapes.

use coriandernotch::measure::{self, Report, Shape};

/// Prints the report of the shape in `SHAPE` with the seed in `SEED`.
#[test]
fn prints_a_report() {
    let shape = std::env::var("SHAPE").map_or(Shape::Huallaga, |s| s.parse().unwrap());
    let seed = std::env::var("SEED").map_or(1, |s| s.parse().unwrap());
    let report = measure::run(shape, seed);
    println!("{report}");
    let copy: Report = serde_json::from_str(&report.json()).unwrap();
    assert_eq!(copy.rows.len(), report.rows.len());
}
