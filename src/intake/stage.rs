/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Nothing has been read from it: a request may have arrived.
    Unread,
    /// No byte of a request has arrived.
    Idle,
    /// The head of a request is arriving.
    Head,
    /// The body of a request is arriving.
    Body,
    /// A request has arrived completely and is served or answered.
    Answer,
}
