/// Identifies the terms of one version.
///
/// A version number alone is ambiguous while a change is pending: an abandoned change and the
/// change proposed after it have the same number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct TermsId {
    /// Version number.
    pub version: u64,
    /// Hash of the voters, limits and longest run.
    pub tag: u64,
}
