//! Checks a file's syntax tree against the schema of a type: keys, types and ranges.

use super::*;

/// Suffixes of keys, with the unit of the number that each stands for.
const UNIT_SUFFIXES: [(&str, &str); 10] = [
    ("_bytes", "bytes"),
    ("_kb", "kilobytes"),
    ("_mb", "megabytes"),
    ("_mib", "MiB"),
    ("_milli", "thousandths"),
    ("_gb", "gigabytes"),
    ("_min", "minutes"),
    ("_ms", "milliseconds"),
    ("_s", "seconds"),
    ("_us", "microseconds"),
];

/// Returns a fault for everything in `value` that `schema` does not allow.
pub(crate) fn check(value: &Value, schema: &Schema) -> Vec<Fault> {
    let mut checker = Checker { definitions: &schema.as_value()["$defs"], faults: vec![] };
    checker.check_value("the file", value, schema.as_value());
    checker.faults
}

struct Checker<'a> {
    definitions: &'a Json,
    faults: Vec<Fault>,
}

impl<'a> Checker<'a> {
    fn check_array(&mut self, key: &str, array: &Array, schema: &'a Json) {
        let mut seen = BTreeSet::new();
        for element in &array.elements {
            self.check_value(key, element, &schema["items"]);
            let name = element.as_object().and_then(|object| object.get_string("name"));
            if let Some(name) = name.filter(|name| !seen.insert(name.value.as_ref())) {
                let message = format!("`{}` occurs twice in `{key}`", name.value);
                self.add_fault(name, message, "rename or drop one");
            }
        }
    }

    fn add_fault(&mut self, place: &impl Ranged, message: String, help: impl Into<String>) {
        self.faults.push(Fault::new(place, message, help));
    }

    fn check_number(&mut self, key: &str, number: &NumberLit, schema: &Json) {
        let text = number.value;
        let Ok(value) = text.parse::<f64>() else {
            return self.add_fault(number, format!("`{text}` is not a number"), "write a number");
        };
        if schema["type"] == "integer" && text.parse::<i128>().is_err() {
            let help = format!("write `{key}` as a whole number");
            return self.add_fault(number, format!("`{text}` is not a whole number"), help);
        }
        let bounds = [
            ("minimum", "at least", value < bound(schema, "minimum", f64::MIN)),
            ("maximum", "at most", value > bound(schema, "maximum", format_max(schema))),
            ("exclusiveMinimum", "above", value <= bound(schema, "exclusiveMinimum", f64::MIN)),
            ("exclusiveMaximum", "below", value >= bound(schema, "exclusiveMaximum", f64::MAX)),
        ];
        for (name, relation, violated) in bounds {
            if violated {
                let limit = bound(schema, name, format_max(schema));
                let help = format!("write a number {relation} {limit}");
                self.add_fault(number, format!("`{key}` is out of range: `{text}`"), help);
            }
        }
    }

    fn check_object(&mut self, key: &str, object: &Object, schema: &'a Json) {
        let empty = serde_json::Map::new();
        let known = schema["properties"].as_object().unwrap_or(&empty);
        let mut seen = BTreeSet::new();
        for property in &object.properties {
            let name = property.name.as_str();
            if !seen.insert(name.to_owned()) {
                let help = "keep one of them";
                self.add_fault(&property.name, format!("`{name}` is given twice"), help);
            }
            match schema["properties"].get(name) {
                Some(schema) => self.check_value(name, &property.value, schema),
                None => self.report_unknown_key(name, &property.name, known),
            }
        }
        let required = schema["required"].as_array().map_or(&[][..], Vec::as_slice);
        for name in required.iter().filter_map(Json::as_str) {
            if !seen.iter().any(|key| stem(key) == stem(name)) {
                let help = format!("add `{name}`{}", unit_help(name));
                let place = Range::new(object.range.start, object.range.start + 1);
                self.add_fault(&place, format!("`{name}` is missing in {}", quoted(key)), help);
            }
        }
    }

    /// Follows a reference to a definition, past the `null` of an optional value.
    fn resolve(&self, schema: &'a Json) -> &'a Json {
        let options = schema["anyOf"].as_array();
        let schema = options.map_or(schema, |options| {
            options.iter().find(|option| option["type"] != "null").unwrap_or(schema)
        });
        let reference = schema["$ref"].as_str().and_then(|path| path.strip_prefix("#/$defs/"));
        reference.map_or(schema, |name| &self.definitions[name])
    }

    fn check_string(&mut self, string: &StringLit, schema: &Json) {
        let text = string.value.as_ref();
        let checked = match schema["format"].as_str() {
            Some("ip-port") => text
                .parse::<SocketAddr>()
                .map(drop)
                .map_err(|_| format!("`{text}` is not an address with a port")),
            Some("name") => Name::try_from(text)
                .map(drop)
                .map_err(|error| error.to_string().split(": ").next().unwrap_or("").to_owned()),
            Some("url") if !text.starts_with("http://") => {
                Err(format!("`{text}` is not an `http://` address"))
            }
            _ => Ok(()),
        };
        let Err(message) = checked else { return };
        let help = match schema["format"].as_str() {
            Some("ip-port") => "write `IP:PORT`, such as `10.0.0.7:8080`",
            Some("url") => "write an address such as `http://10.0.0.7:2379`",
            _ => {
                "use 1 to 63 lower-case letters, digits and hyphens, starting with a letter or a \
                 digit"
            }
        };
        self.add_fault(string, message, help);
    }

    fn report_unknown_key(
        &mut self,
        name: &str,
        place: &impl Ranged,
        known: &serde_json::Map<String, Json>,
    ) {
        let message = format!("`{name}` is not a known key");
        let same_stem = known.keys().find(|key| stem(key) == stem(name));
        let help = match same_stem {
            Some(correct) => format!("write `{correct}`{}", unit_help(correct)),
            None => {
                let keys: Vec<_> = known.keys().map(|key| format!("`{key}`")).collect();
                format!("use one of {}", keys.join(", "))
            }
        };
        self.add_fault(place, message, help);
    }

    fn check_value(&mut self, key: &str, value: &Value, schema: &'a Json) {
        let schema = self.resolve(schema);
        match (value, type_name(schema)) {
            (Value::Array(array), "array") => self.check_array(key, array, schema),
            (Value::BooleanLit(_), "boolean") => {}
            (Value::NullKeyword(_), _) if nullable(schema) => {}
            (Value::NumberLit(number), "integer" | "number") => {
                self.check_number(key, number, schema)
            }
            (Value::Object(object), "object") => self.check_object(key, object, schema),
            (Value::StringLit(string), "string") => self.check_string(string, schema),
            (_, expected) => {
                let message = format!("{} is not of the type `{expected}`", quoted(key));
                let help = format!("write {}", type_help(expected));
                self.add_fault(value, message, help);
            }
        }
    }
}

fn bound(schema: &Json, name: &str, default: f64) -> f64 {
    schema[name].as_f64().unwrap_or(default)
}

/// Returns the type that `schema` requires, other than `null`.
fn type_name(schema: &Json) -> &str {
    let first = schema["type"].as_array().and_then(|types| types.iter().find(|t| *t != "null"));
    first.unwrap_or(&schema["type"]).as_str().unwrap_or("object")
}

/// Returns the largest number that the integer format of `schema` holds.
fn format_max(schema: &Json) -> f64 {
    match schema["format"].as_str() {
        Some("uint16") => u16::MAX.into(),
        Some("uint32") => u32::MAX.into(),
        Some("uint64") => u64::MAX as f64,
        _ => f64::MAX,
    }
}

fn nullable(schema: &Json) -> bool {
    schema["type"].as_array().is_some_and(|types| types.iter().any(|name| name == "null"))
}

/// Returns `key` in backticks, unless it is a phrase such as "the file".
fn quoted(key: &str) -> String {
    if key.contains(' ') { key.to_owned() } else { format!("`{key}`") }
}

/// Returns what to write for a value of the type.
fn type_help(type_name: &str) -> &'static str {
    match type_name {
        "array" => "a list, `[ ... ]`",
        "boolean" => "`true` or `false`",
        "integer" => "a whole number without quotes",
        "number" => "a number without quotes",
        "string" => "a text in double quotes",
        _ => "an object, `{ ... }`",
    }
}

/// Returns `key` without the suffix of its unit.
fn stem(key: &str) -> &str {
    UNIT_SUFFIXES.iter().find_map(|(suffix, _)| key.strip_suffix(suffix)).unwrap_or(key)
}

fn unit_help(key: &str) -> String {
    let unit = UNIT_SUFFIXES.iter().find(|(suffix, _)| key.ends_with(suffix));
    unit.map_or(String::new(), |(_, unit)| format!(", in {unit}"))
}
