//! Settings of one process: its name, addresses, bounds and the keys of its operators.

mod bounds;
mod check;
mod level;
mod listen;
mod operator;
mod platform;
mod role;
mod shape;
mod values;

pub use bounds::Bounds;
pub use level::Level;
pub use listen::Listen;
pub use operator::Operator;
pub use platform::Platform;
pub use role::Role;
pub use values::Settings;

use crate::document::{Faults, Problem, Shape, conform, convert, load};

/// Reads and validates the settings of one process.
///
/// # Errors
///
/// Returns every problem of the file.
///
/// ```
/// use coriandernotch::settings;
///
/// let text = include_str!("../../examples/settings.jsonc");
/// assert_eq!(&*settings::parse("settings.jsonc", text).unwrap().name, "entry-1");
/// let problems = settings::parse("settings.jsonc", "{}").unwrap_err();
/// assert_eq!(problems[0].field, "name");
/// ```
pub fn parse(file: &str, text: &str) -> Result<Settings, Vec<Problem>> {
    let (tree, mut faults): (_, Faults) = load(file, text)?;
    conform(&tree, shape(), &mut faults);
    check::check(&tree, &mut faults);
    convert(&tree, faults)
}

/// Returns the fields that settings accept.
///
/// ```
/// assert!(coriandernotch::settings::shape().field("listen").is_some());
/// ```
pub fn shape() -> &'static Shape {
    &shape::SETTINGS
}
