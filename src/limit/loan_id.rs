/// A loan, numbered upwards by its borrower; unique within one incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LoanId(pub u64);
