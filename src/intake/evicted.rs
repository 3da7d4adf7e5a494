/// The connection is closed in favour of others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("step=read peer=caller reason=gives-way")]
pub struct Evicted;
