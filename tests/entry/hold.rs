use crate::standin::Call;

/// Reads that the stand-in of the store holds back until they are released.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Hold {
    pub(crate) table: &'static str,
    pub(crate) part: &'static str,
    pub(crate) page: Page,
    pub(crate) moment: Moment,
}

/// A page of a read of a whole partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Page {
    First,
    /// Any page after the first.
    Later,
}

/// When a read is held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Moment {
    /// Before the rows are read, so that the answer shows later changes.
    Before,
    /// After the rows are read, so that the answer shows no later change.
    After,
}

impl Hold {
    /// Returns whether a call is one of the reads that are held back.
    pub(crate) fn matches(&self, call: &Call) -> bool {
        let page = match call.query("from") {
            "" => Page::First,
            _ => Page::Later,
        };
        let is_read = call.path == "/api/rows-get" && call.query("target").is_empty();
        let is_same_partition =
            call.query("table") == self.table && call.query("part") == self.part;
        is_read && is_same_partition && page == self.page
    }
}
