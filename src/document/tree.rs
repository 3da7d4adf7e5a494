use std::sync::Arc;

use super::member::Member;
use super::node::Node;
use super::node_id::NodeId;
use super::step::Step;
use super::r#type::Type;
use super::value::Value;

/// Characters of a value that a problem repeats.
const SHOWN: usize = 60;

/// Values of one file in an arena.
#[derive(Clone, Debug)]
pub struct Tree {
    pub(super) file: Arc<str>,
    pub(super) text: Arc<str>,
    pub(super) nodes: Vec<Node>,
}

impl Tree {
    /// Returns the outermost value.
    ///
    /// ```
    /// let tree = coriandernotch::document::read("a.jsonc", r#"{"a": {"b": 7}}"#).unwrap();
    /// let a = tree.field(tree.root(), "a").unwrap();
    /// let b = tree.field(a, "b").unwrap();
    /// assert_eq!((tree.path(b).as_str(), tree.integer(b)), ("a.b", Some(7)));
    /// ```
    pub fn root(&self) -> NodeId {
        NodeId(0)
    }

    /// Returns the value of a field of an object, the first one if it is given twice.
    ///
    /// ```
    /// let tree = coriandernotch::document::read("a.jsonc", r#"{"a": 1}"#).unwrap();
    /// assert!(tree.field(tree.root(), "a").is_some());
    /// assert!(tree.field(tree.root(), "b").is_none());
    /// ```
    pub fn field(&self, id: NodeId, name: &str) -> Option<NodeId> {
        let found = self.members(id).iter().find(|m| *m.name == *name)?;
        Some(found.value)
    }

    /// Returns the values of a list, or nothing for another value.
    pub(crate) fn items(&self, id: NodeId) -> &[NodeId] {
        match &self.node(id).value {
            Value::List(items) => items,
            _ => &[],
        }
    }

    /// Returns the items of the list in a field of an object, or nothing.
    pub(crate) fn list(&self, id: NodeId, name: &str) -> &[NodeId] {
        self.field(id, name).map_or(&[], |list| self.items(list))
    }

    /// Returns a text.
    pub(crate) fn text(&self, id: NodeId) -> Option<&str> {
        match &self.node(id).value {
            Value::Text(text) => Some(text),
            _ => None,
        }
    }

    /// Returns a number that is an integer without sign, point or exponent.
    ///
    /// ```
    /// let tree = coriandernotch::document::read("a.jsonc", "7").unwrap();
    /// assert_eq!(tree.integer(tree.root()), Some(7));
    /// ```
    pub fn integer(&self, id: NodeId) -> Option<u64> {
        match &self.node(id).value {
            Value::Number(digits) => digits.parse().ok(),
            _ => None,
        }
    }

    /// Returns a truth value.
    pub(crate) fn boolean(&self, id: NodeId) -> Option<bool> {
        match self.node(id).value {
            Value::Boolean(value) => Some(value),
            _ => None,
        }
    }

    /// Returns the value of a field that is a well-formed digest. Other text may be a key that
    /// was pasted by mistake and must not be repeated in a problem.
    pub(crate) fn digest(&self, id: NodeId, name: &str) -> Option<NodeId> {
        let id = self.field(id, name)?;
        self.text(id).is_some_and(Type::is_digest).then_some(id)
    }

    /// Returns the path of a value from the outermost one, such as `workspaces[2].limit`.
    ///
    /// ```
    /// let tree = coriandernotch::document::read("a.jsonc", "[]").unwrap();
    /// assert_eq!(tree.path(tree.root()), "document");
    /// ```
    pub fn path(&self, id: NodeId) -> String {
        let mut steps = Vec::new();
        let mut next = Some(id);
        while let Some(id) = next {
            let node = self.node(id);
            steps.push(&node.step);
            next = node.parent;
        }
        let mut path = String::new();
        for step in steps.into_iter().rev() {
            match step {
                Step::Root => {}
                Step::Field(name) => join(&mut path, name),
                Step::Index(index) => path.push_str(&format!("[{index}]")),
            }
        }
        if path.is_empty() {
            path.push_str("document");
        }
        path
    }

    /// Returns the path of a field that a value has or should have.
    pub(crate) fn path_to(&self, id: NodeId, name: &str) -> String {
        let mut path = match self.node(id).parent {
            Some(_) => self.path(id),
            None => String::new(),
        };
        join(&mut path, name);
        path
    }

    /// Returns a value as it stands in the text, on one line and shortened.
    pub(crate) fn shown(&self, id: NodeId) -> String {
        let node = self.node(id);
        match &self.text[node.start..node.end] {
            // The content of these may be a secret, and is seldom what is wrong.
            text if text.starts_with('{') => "{...}".to_owned(),
            text if text.starts_with('[') => format!("[{} entries]", self.items(id).len()),
            text if text.starts_with('\'') => "'...'".to_owned(),
            text => shorten(text),
        }
    }

    pub(crate) fn start(&self, id: NodeId) -> usize {
        self.node(id).start
    }

    pub(crate) fn is_object(&self, id: NodeId) -> bool {
        matches!(self.node(id).value, Value::Object(_))
    }

    pub(crate) fn is_list(&self, id: NodeId) -> bool {
        matches!(self.node(id).value, Value::List(_))
    }

    /// Tells whether a value was reported while the text was read.
    pub(crate) fn is_invalid(&self, id: NodeId) -> bool {
        matches!(self.node(id).value, Value::Invalid)
    }

    pub(super) fn members(&self, id: NodeId) -> &[Member] {
        match &self.node(id).value {
            Value::Object(members) => members,
            _ => &[],
        }
    }

    pub(super) fn node(&self, id: NodeId) -> &Node {
        &self.nodes[id.0 as usize]
    }
}

fn join(path: &mut String, name: &str) {
    if !path.is_empty() {
        path.push('.');
    }
    path.extend(name.escape_debug().take(SHOWN));
}

/// Puts a piece of text on one line and cuts it.
pub(super) fn shorten(text: &str) -> String {
    let mut chars = text.chars();
    let mut out: String = chars
        .by_ref()
        .take(SHOWN)
        .map(|c| if is_unprintable(c) { ' ' } else { c })
        .collect();
    if chars.next().is_some() {
        out.push_str("...");
    }
    out
}

/// Line separators and direction marks would break or disguise the line of a problem.
fn is_unprintable(c: char) -> bool {
    c.is_control() || matches!(c, '\u{2028}'..='\u{202e}' | '\u{2066}'..='\u{2069}')
}
