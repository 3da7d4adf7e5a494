use std::collections::BTreeMap;

use serde_json::{Map, Value};

use super::{Difference, Document};

/// Lists the fields in which two documents differ, sorted by path.
///
/// The order of list entries has no meaning in a document and is ignored.
///
/// ```
/// use coriandernotch::fleet;
///
/// let text = include_str!("../../examples/rennes.jsonc");
/// let before = fleet::parse("rennes.jsonc", text).unwrap();
/// let mut after = before.clone();
/// after.workspaces[0].limit = 7;
/// after.pools.reverse();
/// let changes = fleet::diff(&before, &after);
/// assert_eq!(changes.len(), 1);
/// assert_eq!(changes[0].to_string(), "workspaces[bookings].limit: 900 -> 7");
/// ```
pub fn diff(before: &Document, after: &Document) -> Vec<Difference> {
    let mut differences = Vec::new();
    compare("", &to_json(before), &to_json(after), &mut differences);
    differences.sort_by(|a, b| a.field.cmp(&b.field));
    differences
}

fn to_json(document: &Document) -> Value {
    serde_json::to_value(document).expect("all map keys of a fleet document are strings")
}

fn compare(path: &str, before: &Value, after: &Value, differences: &mut Vec<Difference>) {
    match (before, after) {
        (Value::Object(before), Value::Object(after)) => {
            let child_path = |name: &str| match path {
                "" => name.to_owned(),
                path => format!("{path}.{name}"),
            };
            compare_fields(&fields(before), &fields(after), child_path, differences);
        }
        (Value::Array(before), Value::Array(after)) => {
            let child_path = |name: &str| format!("{path}[{name}]");
            compare_fields(&entries(before), &entries(after), child_path, differences);
        }
        _ if before == after => {}
        _ => differences.push(Difference {
            field: path.to_owned(),
            before: Some(before.clone()),
            after: Some(after.clone()),
        }),
    }
}

fn compare_fields(
    before: &BTreeMap<&str, &Value>,
    after: &BTreeMap<&str, &Value>,
    child_path: impl Fn(&str) -> String,
    differences: &mut Vec<Difference>,
) {
    for (name, old) in before {
        match after.get(name) {
            Some(new) => compare(&child_path(name), old, new, differences),
            None => differences.push(Difference {
                field: child_path(name),
                before: Some((*old).clone()),
                after: None,
            }),
        }
    }
    for (name, new) in after.iter().filter(|(name, _)| !before.contains_key(*name)) {
        differences.push(Difference {
            field: child_path(name),
            before: None,
            after: Some((*new).clone()),
        });
    }
}

fn fields(object: &Map<String, Value>) -> BTreeMap<&str, &Value> {
    object
        .iter()
        .map(|(name, value)| (name.as_str(), value))
        .collect()
}

/// Indexes a list by name. Entries of every list in a document are names or objects with a name.
fn entries(list: &[Value]) -> BTreeMap<&str, &Value> {
    list.iter()
        .filter_map(|entry| {
            let name = entry.get("name").unwrap_or(entry);
            Some((name.as_str()?, entry))
        })
        .collect()
}
