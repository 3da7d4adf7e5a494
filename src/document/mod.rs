//! Reading of JSON with comments, with the position of every value.
//!
//! [`read`] gives a [`Tree`], an arena of values that remember where they stand in the text.
//! A [`Shape`] states the fields that an object accepts; the shapes of the settings and of the
//! fleet document are the source of the reference in `docs/settings.md`. Every [`Problem`] of a
//! file is reported, in the order of the text.

mod close;
mod conform;
mod decode;
mod faults;
mod field;
mod kind;
mod load;
mod member;
mod node;
mod node_id;
mod problem;
mod shape;
mod step;
mod tree;
mod r#type;
mod unique;
mod value;

pub(crate) use close::closest;
pub(crate) use conform::{conform, convert, refuse_unknown_fields};
pub use decode::decode;
pub(crate) use faults::Faults;
pub(crate) use field::field;
pub use field::{Field, Presence};
pub use kind::Kind;
pub(crate) use load::load;
pub use node_id::NodeId;
pub use problem::Problem;
pub use shape::Shape;
pub use tree::Tree;
pub use r#type::Type;
pub(crate) use unique::unique;

/// Longest text in bytes that is read. A document of the target size has about 400 KB.
pub const MAX_BYTES: usize = 4 << 20;

/// Deepest nesting of lists and objects; the deepest field of a valid file has depth 5.
pub const MAX_DEPTH: usize = 32;

/// Reads JSON with comments and trailing commas.
///
/// # Errors
///
/// Returns every problem of syntax that can be told apart, and every field given twice.
///
/// ```
/// use coriandernotch::document;
///
/// assert!(document::read("a.jsonc", "{/* none */}").is_ok());
/// let problems = document::read("a.jsonc", "{\n  \"a\": 1,\n  \"a\": 2\n}").unwrap_err();
/// assert_eq!((problems[0].line, problems[0].column), (3, 3));
/// ```
pub fn read(file: &str, text: &str) -> Result<Tree, Vec<Problem>> {
    let (tree, faults) = load(file, text)?;
    faults.finish(&tree)?;
    Ok(tree)
}

/// Tells from the fields of the outermost object whether a file holds settings or a fleet.
///
/// ```
/// use coriandernotch::document::{self, Kind};
///
/// let tree = document::read("a.jsonc", r#"{"workspaces": []}"#).unwrap();
/// assert_eq!(document::kind(&tree), Some(Kind::Fleet));
/// ```
pub fn kind(tree: &Tree) -> Option<Kind> {
    Kind::of(tree)
}
