use super::node_id::NodeId;
use super::problem::Problem;
use super::tree::Tree;

/// Problems of one file that are listed; the rest are counted. Bounds the time that a file
/// made only of faults takes.
const LISTED: usize = 1_000;

/// Problems found so far, by offset in the text.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    found: Vec<Fault>,
    omitted: usize,
}

/// A problem whose line and column are not computed yet.
#[derive(Debug)]
struct Fault {
    start: usize,
    field: String,
    value: String,
    accepted: String,
}

impl Faults {
    /// Records that a value is refused.
    pub(crate) fn refuse(&mut self, tree: &Tree, id: NodeId, accepted: impl FnOnce() -> String) {
        self.refuse_as(tree, id, || tree.shown(id), accepted);
    }

    /// Records that a value is refused and shows `value` in its place.
    pub(crate) fn refuse_as(
        &mut self,
        tree: &Tree,
        id: NodeId,
        value: impl FnOnce() -> String,
        accepted: impl FnOnce() -> String,
    ) {
        self.push(tree.start(id), || (tree.path(id), value(), accepted()));
    }

    /// Records a problem at an offset; `describe` gives field, value and what is accepted.
    pub(crate) fn push(
        &mut self,
        start: usize,
        describe: impl FnOnce() -> (String, String, String),
    ) {
        if self.found.len() == LISTED {
            self.omitted += 1;
            return;
        }
        let (field, value, accepted) = describe();
        self.found.push(Fault {
            start,
            field,
            value,
            accepted,
        });
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.found.is_empty()
    }

    /// Returns the problems in the order of the text, if there are any.
    pub(crate) fn finish(self, tree: &Tree) -> Result<(), Vec<Problem>> {
        self.place(&tree.file, &tree.text)
    }

    pub(super) fn place(mut self, file: &str, text: &str) -> Result<(), Vec<Problem>> {
        if self.found.is_empty() {
            return Ok(());
        }
        self.found.sort_by_key(|fault| fault.start);
        let file: std::sync::Arc<str> = file.into();
        let (mut at, mut line, mut column) = (0, 1, 1);
        let mut problems = Vec::with_capacity(self.found.len() + 1);
        for fault in self.found {
            for c in text[at..fault.start].chars() {
                (line, column) = match c {
                    '\n' => (line + 1, 1),
                    _ => (line, column + 1),
                };
            }
            at = fault.start;
            problems.push(Problem {
                file: file.clone(),
                line,
                column,
                field: fault.field,
                value: fault.value,
                accepted: fault.accepted,
            });
        }
        if self.omitted > 0 {
            problems.push(Problem {
                file,
                line,
                column,
                field: "document".into(),
                value: format!("{} more problems", self.omitted),
                accepted: "none".into(),
            });
        }
        Err(problems)
    }
}
