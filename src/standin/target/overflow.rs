/// What a target does with a request when all slots are in use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Overflow {
    /// Answers 503.
    #[default]
    Refuse,
    /// Lets it wait for a slot.
    Wait,
}
