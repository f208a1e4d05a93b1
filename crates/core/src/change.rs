//! Differences between two configurations.

use {super::*, config::Config, serde_json::Value};

/// One difference between two configurations.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Change {
    /// The old value as JSON; `None` if it was added.
    pub from: Option<String>,
    /// The path of the value: list, name of the element, and key.
    pub path: String,
    /// The new value as JSON; `None` if it was removed.
    pub to: Option<String>,
}

impl Change {
    /// Returns the differences from `from` to `to`, sorted by path.
    pub fn between(from: &Config, to: &Config) -> Vec<Self> {
        let from = serde_json::to_value(from).unwrap_or_default();
        let to = serde_json::to_value(to).unwrap_or_default();
        let mut changes = vec![];
        compare("", Some(&from), Some(&to), &mut changes);
        changes
    }
}

impl Display for Change {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match (&self.from, &self.to) {
            (Some(from), Some(to)) => write!(f, "~ {}: {from} -> {to}", self.path),
            (Some(from), None) => write!(f, "- {}: {from}", self.path),
            (None, to) => write!(f, "+ {}: {}", self.path, to.as_deref().unwrap_or_default()),
        }
    }
}

fn compare(path: &str, from: Option<&Value>, to: Option<&Value>, changes: &mut Vec<Change>) {
    if from == to {
        return;
    }
    match (from.map(fields), to.map(fields)) {
        (Some(Some(old)), Some(Some(new))) => {
            let keys: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
            for key in keys {
                let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
                compare(&path, old.get(key).copied(), new.get(key).copied(), changes);
            }
        }
        _ => changes.push(Change {
            from: from.map(Value::to_string),
            path: path.into(),
            to: to.map(Value::to_string),
        }),
    }
}

/// Returns the fields of an object, or the elements of a list by their names.
fn fields(value: &Value) -> Option<BTreeMap<String, &Value>> {
    let name = |element: &Value| element["name"].as_str().map(str::to_owned);
    match value {
        Value::Array(list) => list.iter().map(|element| Some((name(element)?, element))).collect(),
        Value::Object(fields) => {
            Some(fields.iter().map(|(key, value)| (key.clone(), value)).collect())
        }
        _ => None,
    }
}
