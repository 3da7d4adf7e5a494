use std::process::ExitCode;

use super::Format;
use crate::measure::{Shape, run};

/// Measures the decisions over a fleet and prints the figures.
pub(super) fn measure(shape: Shape, seed: u64, format: Format) -> ExitCode {
    let mut report = run(shape, seed);
    report.add_upkeep();
    match format {
        Format::Table => print!("{report}"),
        Format::Json => println!("{}", report.json()),
    }
    ExitCode::SUCCESS
}
