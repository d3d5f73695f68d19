//! The differences between two configurations, part by part or in words.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use mangocross_types::Configuration;
use serde_json::Value;

/// Returns the parts that differ, each with its JSON text before and after the change.
///
/// A part is a field, or an object of a list, named by its id. Recorded commands
/// are left out.
pub fn difference(before: &Configuration, after: &Configuration) -> Vec<Vec<String>> {
    let (before, after) = (parts(before), parts(after));
    let mut names: Vec<&String> = before.keys().chain(after.keys()).collect();
    names.sort_unstable();
    names.dedup();
    let text = |it: Option<&Value>| it.map_or("-".to_owned(), Value::to_string);
    let changed = names.into_iter().filter(|it| before.get(*it) != after.get(*it));
    changed.map(|it| vec![it.clone(), text(before.get(it)), text(after.get(it))]).collect()
}

fn parts(configuration: &Configuration) -> BTreeMap<String, Value> {
    let mut parts = BTreeMap::new();
    let Ok(Value::Object(fields)) = serde_json::to_value(configuration) else { return parts };
    for (field, value) in fields {
        match value {
            _ if field == "recent_commands" => {}
            Value::Array(items) => {
                parts.extend(items.into_iter().map(|it| (item_name(&field, &it), it)));
            }
            Value::Object(inner) => {
                parts.extend(inner.into_iter().map(|(key, it)| (format!("{field}.{key}"), it)));
            }
            other => {
                parts.insert(field, other);
            }
        }
    }
    parts
}

fn item_name(field: &str, item: &Value) -> String {
    let id = ["id", "vm"].iter().find_map(|it| item.get(it)).or(Some(item));
    format!("{field} {}", id.and_then(Value::as_str).unwrap_or_default())
}

/// Returns the differences between two JSON documents in words, one for each changed field.
///
/// Objects in lists are matched by their name or id. Of other lists only the number of changed items
/// is told, since they may hold keys.
///
/// # Examples
///
/// ```
/// use mangocross_operator::describe_changes;
/// use serde_json::json;
///
/// let before = json!({"routes": [{"name": "a", "timeout_ms": 8000}]});
/// let after = json!({"routes": [{"name": "a", "timeout_ms": 6000}, {"name": "b"}]});
/// assert_eq!(
///     describe_changes(&before, &after),
///     ["routes `a` timeout_ms changes from 8000 to 6000", "routes `b` is new"]
/// );
/// ```
pub fn describe_changes(before: &Value, after: &Value) -> Vec<String> {
    let mut changes = Vec::new();
    describe("", before, after, &mut changes);
    changes
}

fn describe(name: &str, before: &Value, after: &Value, changes: &mut Vec<String>) {
    match (before, after) {
        _ if before == after => {}
        (Value::Object(before), Value::Object(after)) => {
            let fields: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
            for field in fields {
                let name = format!("{name} {field}");
                describe_part(name.trim_start(), before.get(field), after.get(field), changes);
            }
        }
        (Value::Array(before), Value::Array(after)) => match (named(before), named(after)) {
            (Some(before), Some(after)) => {
                let ids: BTreeSet<&str> = before.keys().chain(after.keys()).copied().collect();
                for id in ids {
                    let name = format!("{name} `{id}`");
                    let (before, after) = (before.get(id).copied(), after.get(id).copied());
                    describe_part(&name, before, after, changes);
                }
            }
            _ => {
                let added = after.iter().filter(|it| !before.contains(it)).count();
                let removed = before.iter().filter(|it| !after.contains(it)).count();
                changes.push(match (added, removed) {
                    (0, 0) => format!("{name} are in another order"),
                    _ => format!("{name}: {added} added, {removed} removed"),
                });
            }
        },
        _ => changes.push(format!("{name} changes from {before} to {after}")),
    }
}

fn describe_part(
    name: &str,
    before: Option<&Value>,
    after: Option<&Value>,
    changes: &mut Vec<String>,
) {
    match (before, after) {
        (Some(before), Some(after)) => describe(name, before, after, changes),
        (None, Some(after)) if !is_container(after) => {
            changes.push(format!("{name} is new: {after}"));
        }
        (None, Some(_)) => changes.push(format!("{name} is new")),
        (Some(before), None) if !is_container(before) => {
            changes.push(format!("{name} is removed; it was {before}"));
        }
        (Some(_), None) => changes.push(format!("{name} is removed")),
        (None, None) => {}
    }
}

fn is_container(value: &Value) -> bool {
    value.is_array() || value.is_object()
}

/// Returns the items of a list by their names, if each has one of its own.
fn named(items: &[Value]) -> Option<BTreeMap<&str, &Value>> {
    let by_name: BTreeMap<&str, &Value> =
        items.iter().map(|it| Some((name_of(it)?, it))).collect::<Option<_>>()?;
    (by_name.len() == items.len()).then_some(by_name)
}

fn name_of(item: &Value) -> Option<&str> {
    ["name", "id", "vm"].iter().find_map(|field| item.get(field)?.as_str())
}
