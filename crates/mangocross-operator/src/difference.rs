//! The differences between two configurations, part by part.

use std::collections::BTreeMap;

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
