/// Identifies a loan; the borrower assigns ascending numbers, unique within its incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LoanId(pub u64);
