//! Bounds of the design, checked by simulation of whole fleets.

use coriandernotch::plans::simulation::{Shape, run};

/// Guards against policies that need more moves, time or idle instances than the design allows.
///
/// `cargo test --release --test plans_measure -- --nocapture` prints the figures.
#[test]
fn moves_and_rollouts_stay_within_their_bounds() {
    for shape in [Shape::Huallaga, Shape::Rennes, Shape::Target] {
        let (document, listing) = shape.build(1);
        let report = run(&shape.to_string(), &document, &listing, 1);
        println!("{report}");
        assert_eq!(report.moves_undone, 0, "{shape}");
        assert!(
            report.moves_minimum > 20,
            "{shape}: too few moves to compare"
        );
        assert!(report.moves_ratio() <= 1.1, "{shape}");
        assert!(report.moves < report.moves_naive, "{shape}");
        assert!(report.rollout_ratio() <= 1.2, "{shape}");
        assert!(report.rollout_worst_ratio <= 1.2, "{shape}");
        assert!(report.rollout < report.rollout_naive, "{shape}");
        assert!(report.reserve.shared < report.reserve.own, "{shape}");
        assert!(report.state_bytes < 1 << 20, "{shape}");
        assert_eq!(report.budget_violations, 0, "{shape}");
    }
}
