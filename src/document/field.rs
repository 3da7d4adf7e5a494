use super::r#type::Type;

/// A field that an object accepts.
#[derive(Debug)]
pub struct Field {
    /// Name as written in files.
    pub name: &'static str,
    /// Values that are accepted.
    pub accepts: Type,
    /// Whether the field may be left out, and what then applies.
    pub presence: Presence,
    /// Meaning and unit, one sentence.
    pub about: &'static str,
}

/// Describes a field.
pub(crate) const fn field(
    name: &'static str,
    accepts: Type,
    presence: Presence,
    about: &'static str,
) -> Field {
    Field {
        name,
        accepts,
        presence,
        about,
    }
}

/// Whether a field may be left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// Must be given.
    Required,
    /// May be left out; the text is the JSON of the default.
    Default(&'static str),
    /// May be left out; the text says what then applies.
    Optional(&'static str),
}
