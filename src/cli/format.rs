/// How a command prints what it found.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Format {
    /// Lines of columns for people.
    #[default]
    Table,
    /// The answer of the instance as it is.
    Json,
}
