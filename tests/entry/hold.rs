use crate::moment::Moment;
use crate::page::Page;
use crate::standin::Call;

/// Reads of one partition of a table that the stand-in of the store holds back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Hold {
    pub(crate) table: &'static str,
    pub(crate) part: &'static str,
    pub(crate) page: Page,
    pub(crate) moment: Moment,
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
