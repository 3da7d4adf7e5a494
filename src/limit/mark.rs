/// Identity of the terms of one version.
///
/// A version number alone is ambiguous while a change is pending: an abandoned change and its
/// successor carry the same number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Mark {
    /// Version number.
    pub version: u64,
    /// Hash of voters, limits and longest run.
    pub tag: u64,
}
