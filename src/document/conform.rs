use std::net::SocketAddr;

use serde::de::DeserializeOwned;
use serde_json::Value as Json;

use super::close::closest;
use super::faults::Faults;
use super::field::{Field, Presence};
use super::member::Member;
use super::node_id::NodeId;
use super::problem::Problem;
use super::shape::Shape;
use super::tree::Tree;
use super::r#type::Type;
use super::value::Value;

/// Records every value of the tree that `shape` does not accept.
pub(crate) fn conform(tree: &Tree, shape: &'static Shape, faults: &mut Faults) {
    check(tree, tree.root(), &Type::Object(shape), faults);
}

/// Turns a tree into a typed value, unless there are faults.
pub(crate) fn convert<T: DeserializeOwned>(
    tree: &Tree,
    mut faults: Faults,
) -> Result<T, Vec<Problem>> {
    let value = serde_json::from_value(json(tree, tree.root()));
    if let Err(error) = &value {
        // The shapes refuse what the types refuse; this reports a shape that has gone stale.
        if faults.is_empty() {
            faults.refuse(tree, tree.root(), || error.to_string());
        }
    }
    faults.finish(tree)?;
    value.map_err(|_| Vec::new())
}

fn check(tree: &Tree, id: NodeId, accepts: &Type, faults: &mut Faults) {
    if tree.is_invalid(id) {
        return;
    }
    let accepted = match accepts {
        Type::Object(shape) if tree.is_object(id) => {
            check_fields(tree, id, shape, faults);
            true
        }
        Type::List(of, min, max) if tree.is_list(id) => {
            let items = tree.items(id);
            for item in items {
                check(tree, *item, of, faults);
            }
            (*min..=*max).contains(&items.len())
        }
        Type::Object(_) | Type::List(..) => false,
        Type::Name => tree.text(id).is_some_and(Type::is_name),
        Type::Integer(min, max) => tree.integer(id).is_some_and(|n| (*min..=*max).contains(&n)),
        Type::Boolean => tree.boolean(id).is_some(),
        Type::Choice(words) => tree.text(id).is_some_and(|text| words.contains(&text)),
        Type::Digest => tree.text(id).is_some_and(Type::is_digest),
        Type::Listen => address(tree, id).is_some(),
        Type::Address => {
            address(tree, id).is_some_and(|a| a.port() != 0 && !a.ip().is_unspecified())
        }
    };
    if !accepted {
        let value = || match (hides(accepts), tree.text(id)) {
            (false, _) => tree.shown(id),
            (true, Some(text)) => format!("(text of {} characters)", text.chars().count()),
            (true, None) => "(not text)".to_owned(),
        };
        faults.refuse_as(tree, id, value, || accepts.to_string());
    }
}

/// Tells whether what stands in the place of a digest or of the list of keys may be a secret,
/// which must not reach a log.
fn hides(accepts: &Type) -> bool {
    let is_digest = |field: &Field| matches!(field.accepts, Type::Digest);
    match accepts {
        Type::Digest => true,
        Type::Object(shape) => shape.fields.iter().any(is_digest),
        Type::List(of, ..) => hides(of),
        _ => false,
    }
}

fn check_fields(tree: &Tree, id: NodeId, shape: &Shape, faults: &mut Faults) {
    for member in tree.members(id) {
        match shape.field(&member.name) {
            Some(field) => check(tree, member.value, &field.accepts, faults),
            None => refuse_unknown(tree, id, member, &[shape], faults),
        }
    }
    let missing = |field: &&Field| {
        field.presence == Presence::Required && tree.field(id, field.name).is_none()
    };
    for field in shape.fields.iter().filter(missing) {
        faults.push(tree.start(id), || {
            let accepted = format!("{} (the field is required)", field.accepts);
            (tree.path_to(id, field.name), "nothing".to_owned(), accepted)
        });
    }
}

/// Records the fields of the outermost object that no shape accepts.
pub(crate) fn refuse_unknown_fields(tree: &Tree, shapes: &[&Shape], faults: &mut Faults) {
    let id = tree.root();
    for member in tree.members(id) {
        if shapes.iter().all(|s| s.field(&member.name).is_none()) {
            refuse_unknown(tree, id, member, shapes, faults);
        }
    }
}

fn refuse_unknown(
    tree: &Tree,
    id: NodeId,
    member: &Member,
    shapes: &[&Shape],
    faults: &mut Faults,
) {
    faults.push(member.start, || {
        let name = &*member.name;
        let value = super::tree::shorten(&format!("{name:?}"));
        (tree.path_to(id, name), value, suggest(shapes, name))
    });
}

fn suggest(shapes: &[&Shape], name: &str) -> String {
    let mut names = Vec::new();
    for field in shapes.iter().flat_map(|shape| shape.fields) {
        if !names.contains(&field.name) {
            names.push(field.name);
        }
    }
    let list = names.join(", ");
    match closest(name, names) {
        Some(close) => format!("{close:?} (closest) or another of the fields {list}"),
        None => format!("one of the fields {list}"),
    }
}

fn address(tree: &Tree, id: NodeId) -> Option<SocketAddr> {
    tree.text(id)?.parse().ok()
}

fn json(tree: &Tree, id: NodeId) -> Json {
    match &tree.node(id).value {
        Value::Invalid | Value::Null => Json::Null,
        Value::Boolean(value) => Json::Bool(*value),
        Value::Number(digits) => serde_json::from_str(digits).unwrap_or(Json::Null),
        Value::Text(text) => Json::String(text.to_string()),
        Value::List(items) => items.iter().map(|item| json(tree, *item)).collect(),
        Value::Object(members) => members
            .iter()
            .map(|member| (member.name.to_string(), json(tree, member.value)))
            .collect(),
    }
}
