use std::sync::Arc;

/// How a parent reaches a value.
#[derive(Clone, Debug)]
pub(super) enum Step {
    Root,
    Field(Arc<str>),
    Index(usize),
}
