/// How figures are printed.
///
/// ```
/// use coriandernotch::cli::Format;
///
/// assert_eq!("json".parse::<Format>().unwrap(), Format::Json);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Format {
    /// Aligned columns.
    #[default]
    Table,
    /// One JSON document.
    Json,
}
