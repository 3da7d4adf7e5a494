/// Class of a platform call; faults and counts are kept per class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Read or scan of the table.
    Read,
    /// Transaction on the table.
    Write,
    /// Object stored or fetched.
    Object,
    /// Instance list.
    List,
    /// Order about an instance.
    Order,
}

impl Kind {
    pub(super) const COUNT: usize = 5;

    pub(super) fn index(self) -> usize {
        match self {
            Kind::Read => 0,
            Kind::Write => 1,
            Kind::Object => 2,
            Kind::List => 3,
            Kind::Order => 4,
        }
    }
}
