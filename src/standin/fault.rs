/// What happens to one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing; the call is served.
    Pass,
    /// Refused with an answer before any effect.
    Refuse,
    /// Connection closed before any effect, without an answer.
    Drop,
    /// Connection closed after the effect, without an answer.
    Lose,
}
