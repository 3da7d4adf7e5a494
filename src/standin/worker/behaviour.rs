/// What a worker does with jobs that it starts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Behaviour {
    /// Runs them.
    #[default]
    Normal,
    /// Lets each of them fail at once.
    FailAll,
}
