use std::collections::BTreeSet;
use std::sync::Arc;

use jsonc_parser::ast;
use jsonc_parser::common::{Range, Ranged as _};
use jsonc_parser::tokens::Token;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

use super::faults::Faults;
use super::member::Member;
use super::node::Node;
use super::node_id::NodeId;
use super::problem::Problem;
use super::step::Step;
use super::tree::{Tree, shorten};
use super::value::Value;
use super::{MAX_BYTES, MAX_DEPTH};

/// Reads `text` and returns the tree with the problems of syntax after which reading went on.
///
/// The parser is lenient, and what JSON does not allow is reported from the tree, so that one
/// missing comma does not hide the other problems of a file.
pub(crate) fn load(file: &str, text: &str) -> Result<(Tree, Faults), Vec<Problem>> {
    if text.len() > MAX_BYTES {
        let size = format!("more than {MAX_BYTES} bytes");
        return Err(single(
            file,
            "",
            0,
            size,
            format!("at most {MAX_BYTES} bytes"),
        ));
    }
    let collect = CollectOptions {
        tokens: true,
        ..CollectOptions::default()
    };
    let options = ParseOptions {
        allow_extended_string_escapes: false,
        ..ParseOptions::default()
    };
    let parsed = parse_to_ast(text, &collect, &options).map_err(|error| {
        let start = error.range().start.min(text.len());
        let value = first_token(&text[start..]);
        let accepted = format!("JSON with comments ({})", error.kind());
        single(file, text, start, value, accepted)
    })?;
    let Some(value) = parsed.value else {
        let value = "nothing".to_owned();
        return Err(single(file, text, 0, value, "an object".to_owned()));
    };
    let tokens = parsed.tokens.unwrap_or_default();
    let mut builder = Builder {
        tree: Tree {
            file: file.into(),
            text: text.into(),
            nodes: Vec::new(),
        },
        commas: tokens
            .iter()
            .filter(|t| t.token == Token::Comma)
            .map(|t| t.range.start)
            .collect(),
        faults: Faults::default(),
    };
    builder.add(&value, None, Step::Root, 0);
    Ok((builder.tree, builder.faults))
}

/// Returns the word or the sign with which a text begins. Quoted text is not repeated, since it
/// may be a secret.
fn first_token(text: &str) -> String {
    let is_word = |c: char| c.is_ascii_alphanumeric() || "+-_.".contains(c);
    let word = text.find(|c| !is_word(c)).unwrap_or(text.len());
    match (word, text.chars().next()) {
        (_, None) => "end of text".to_owned(),
        (0, Some(sign)) if sign.is_ascii_graphic() => sign.to_string(),
        (0, Some(sign)) => sign.escape_debug().to_string(),
        // Longer words are seldom a slip of JSON and may be a key.
        (word @ ..=12, _) => text[..word].to_owned(),
        (word, _) => format!("(word of {word} characters)"),
    }
}

pub(super) fn single(
    file: &str,
    text: &str,
    start: usize,
    value: String,
    accepted: String,
) -> Vec<Problem> {
    let mut faults = Faults::default();
    faults.push(start, || ("document".to_owned(), value, accepted));
    faults.place(file, text).err().unwrap_or_default()
}

/// Copies the syntax tree of the parser into the arena.
struct Builder {
    tree: Tree,
    /// Offsets of the commas, ascending.
    commas: Vec<usize>,
    faults: Faults,
}

impl Builder {
    fn add(
        &mut self,
        value: &ast::Value<'_>,
        parent: Option<NodeId>,
        step: Step,
        depth: usize,
    ) -> NodeId {
        let range = value.range();
        // A text of MAX_BYTES has fewer values than a u32 counts.
        let id = NodeId(self.tree.nodes.len() as u32);
        self.tree.nodes.push(Node {
            start: range.start,
            end: range.end,
            parent,
            step,
            value: Value::Invalid,
        });
        let value = match value {
            ast::Value::NullKeyword(_) => Value::Null,
            ast::Value::BooleanLit(lit) => Value::Boolean(lit.value),
            ast::Value::NumberLit(lit) => self.number(id, lit.value),
            ast::Value::StringLit(lit) => {
                self.check_quotes(lit.range, id);
                Value::Text(lit.value.as_ref().into())
            }
            ast::Value::Array(_) | ast::Value::Object(_) if depth == MAX_DEPTH => {
                let accepted = || format!("nesting of at most {MAX_DEPTH} lists and objects");
                self.faults.refuse(&self.tree, id, accepted);
                Value::Invalid
            }
            ast::Value::Array(list) => self.list(id, list, depth),
            ast::Value::Object(object) => self.object(id, object, depth),
        };
        self.tree.nodes[id.0 as usize].value = value;
        id
    }

    fn number(&mut self, id: NodeId, digits: &str) -> Value {
        if serde_json::from_str::<serde_json::Number>(digits).is_ok() {
            return Value::Number(digits.into());
        }
        let accepted = || "a decimal number such as 12".to_owned();
        self.faults.refuse(&self.tree, id, accepted);
        Value::Invalid
    }

    fn list(&mut self, id: NodeId, list: &ast::Array<'_>, depth: usize) -> Value {
        let mut items = Vec::with_capacity(list.elements.len());
        let mut last = None;
        for (index, element) in list.elements.iter().enumerate() {
            let range = element.range();
            let item = self.add(element, Some(id), Step::Index(index), depth + 1);
            if last.is_some_and(|last| !self.has_comma(last, range)) {
                let accepted = || "a comma before it".to_owned();
                self.faults
                    .refuse_as(&self.tree, item, || "(entry)".to_owned(), accepted);
            }
            last = Some(range);
            items.push(item);
        }
        Value::List(items)
    }

    fn object(&mut self, id: NodeId, object: &ast::Object<'_>, depth: usize) -> Value {
        let mut members = Vec::with_capacity(object.properties.len());
        let mut seen = BTreeSet::new();
        let mut last = None;
        for property in &object.properties {
            let name: Arc<str> = property.name.as_str().into();
            let start = property.name.range().start;
            if last.is_some_and(|last| !self.has_comma(last, property.range)) {
                let (tree, shown) = (&self.tree, shorten(&format!("{name:?}")));
                let accepted = "a comma before it".to_owned();
                self.faults.push(start, || (tree.path(id), shown, accepted));
            }
            last = Some(property.range);
            match &property.name {
                ast::ObjectPropName::String(lit) => self.check_quotes(lit.range, id),
                ast::ObjectPropName::Word(lit) => self.refuse_quotes(lit.range, id),
            }
            if !seen.insert(name.clone()) {
                let tree = &self.tree;
                self.faults.push(start, || {
                    let value = shorten(&format!("{name:?}"));
                    let accepted = "each field once".to_owned();
                    (tree.path_to(id, &name), value, accepted)
                });
            }
            let step = Step::Field(name.clone());
            let value = self.add(&property.value, Some(id), step, depth + 1);
            members.push(Member { name, start, value });
        }
        Value::Object(members)
    }

    fn has_comma(&self, last: Range, next: Range) -> bool {
        let after = self.commas.partition_point(|comma| *comma < last.end);
        self.commas.get(after).is_some_and(|c| *c < next.start)
    }

    fn check_quotes(&mut self, range: Range, id: NodeId) {
        if !self.tree.text[range.start..].starts_with('"') {
            self.refuse_quotes(range, id);
        }
    }

    fn refuse_quotes(&mut self, range: Range, id: NodeId) {
        let tree = &self.tree;
        self.faults.push(range.start, || {
            let value = match &tree.text[range.start..range.end] {
                quoted if quoted.starts_with('\'') => "'...'".to_owned(),
                word => shorten(word),
            };
            (tree.path(id), value, "text in double quotes".to_owned())
        });
    }
}
