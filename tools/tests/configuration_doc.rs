//! Checks that docs/CONFIGURATION.md lists every field of the configuration documents with the
//! defaults and limits that the programs apply.

use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::fmt::Debug;
use std::path::Path;
use sycamore_core::config::validate;
use sycamore_core::hash::Hash;
use sycamore_core::member::VmList;
use sycamore_node::settings::Settings;

/// One row of a table in the documentation.
struct Row {
    field: String,
    default: String,
    allowed: String,
}

/// A kind of configuration document: its section in the documentation, a minimal and a full
/// example, and its parser, which returns the parsed document as JSON.
struct DocumentKind {
    section: &'static str,
    minimal: Value,
    full: Value,
    read: fn(&[u8]) -> Result<Value, String>,
}

fn debug_text<E: Debug>(error: E) -> String {
    format!("{error:?}")
}

fn read_settings(buf: &[u8]) -> Result<Value, String> {
    serde_json::to_value(Settings::parse(buf).map_err(debug_text)?).map_err(debug_text)
}

fn read_in_force(buf: &[u8]) -> Result<Value, String> {
    serde_json::to_value(validate::parse_in_force(buf).map_err(debug_text)?).map_err(debug_text)
}

fn read_preset(buf: &[u8]) -> Result<Value, String> {
    let preset = validate::parse_body(buf).map_err(debug_text)?;
    validate::preset(&preset).map_err(debug_text)?;
    serde_json::to_value(preset).map_err(debug_text)
}

fn read_vms(buf: &[u8]) -> Result<Value, String> {
    serde_json::to_value(serde_json::from_slice::<VmList>(buf).map_err(debug_text)?)
        .map_err(debug_text)
}

fn settings() -> DocumentKind {
    let minimal = json!({
        "vm": "a", "region": "r", "zone": "z",
        "listen": {"calls": "127.0.0.1:1", "gate": "127.0.0.1:2", "peers": "127.0.0.1:3",
            "admin": "127.0.0.1:4"},
        "platform_address": "127.0.0.1:9"
    });
    let mut full = minimal.clone();
    full["target_address"] = "127.0.0.1:5".into();
    full["platform_region"] = "r".into();
    full["seeds"] = json!(["127.0.0.1:6"]);
    full["scope"] = json!(["s"]);
    full["limits"] = json!({"link_mbps": 15.4});
    full["log"] = json!({});
    full["service"] = "s".into();
    full["fleet_retries"] = json!({});
    full["cold_rate"] = json!({});
    full["bounds"] = json!({});
    full["scheduling"] = json!({});
    full["zones"] = json!({"NAME": "r"});
    full["listen"]["ready"] = "127.0.0.1:7".into();
    DocumentKind { section: "Settings of a node", minimal, full, read: read_settings }
}

fn in_force() -> DocumentKind {
    let minimal = json!({"version": 1, "preset": "p", "digest": Hash::of(b"")});
    let full = minimal.clone();
    DocumentKind { section: "The publication in force", minimal, full, read: read_in_force }
}

fn preset() -> DocumentKind {
    let target = json!({"vm": "a", "region": "r", "zone": "z", "gate": "127.0.0.1:2", "peers": "127.0.0.1:9"});
    let route = json!({"path_prefix": "/", "service": "NAME", "idempotent": true});
    let minimal = json!({
        "name": "p",
        "services": {"NAME": {"targets": [target]}},
        "routes": {"NAME": route}
    });
    let mut full = minimal.clone();
    full["services"]["NAME"]["limits"] = json!({});
    full["services"]["NAME"]["limits"] = json!({"retry_reserve": 1, "health_path": "/h"});
    let target = &mut full["services"]["NAME"]["targets"][0];
    target["incarnation"] = "i".into();
    target["slots"] = 4.into();
    target["leaving"] = true.into();
    target["evacuated"] = true.into();
    target["cold"] = true.into();
    target["started_ms"] = 1.into();
    let route = &mut full["routes"]["NAME"];
    route["host"] = "h".into();
    route["split"] = json!([{"service": "NAME", "weight": 1}]);
    // Requests with a key can't be bound to regions.
    route["once"] = "attempt".into();
    route["regions"] = json!(["r"]);
    full["parts"] = json!([{"key": "part/1", "digest": Hash::of(b"")}]);
    DocumentKind { section: "A preset", minimal, full, read: read_preset }
}

fn vms() -> DocumentKind {
    let vm = json!({"vm": "a", "region": "r", "zone": "z", "peers": "127.0.0.1:3",
        "admin": "127.0.0.1:4", "state": "live"});
    let minimal = json!({"vms": [vm]});
    let full = minimal.clone();
    DocumentKind { section: "The VM lists", minimal, full, read: read_vms }
}

fn kinds() -> [DocumentKind; 4] {
    [settings(), in_force(), preset(), vms()]
}

impl DocumentKind {
    fn rows(&self) -> Vec<Row> {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/CONFIGURATION.md");
        let page = std::fs::read_to_string(path).unwrap();
        let section = page.split("\n## ").find(|part| part.starts_with(self.section)).unwrap();
        let row = |line: &str| {
            let cells: Vec<_> = line.strip_prefix("| `")?.split(" | ").collect();
            let plain = |cell: &str| cell.trim_matches('`').to_owned();
            let allowed = cells[2].to_owned();
            Some(Row { field: plain(cells[0]), default: plain(cells[1]), allowed })
        };
        section.lines().filter_map(row).collect()
    }

    fn read(&self, document: &Value) -> Result<Value, String> {
        (self.read)(document.to_string().as_bytes())
    }

    /// Whether the full document is accepted with `field` set to `value`.
    fn accepts(&self, field: &str, value: u128) -> bool {
        let mut document = self.full.clone();
        // `json!` can't represent every `u128`, so the value is parsed from text.
        let value = serde_json::from_str(&value.to_string()).unwrap();
        // `connections` must be at least `slots`.
        if field.ends_with("limits.slots") {
            set(&mut document, &field.replace("slots", "connections"), json!(10_000));
        }
        set(&mut document, field, value);
        self.read(&document).is_ok()
    }
}

fn pointer(field: &str) -> String {
    format!("/{}", field.replace("[]", ".0").replace('.', "/"))
}

/// Sets a field of an existing object.
fn set(document: &mut Value, field: &str, value: Value) {
    let path = pointer(field);
    let (parent, name) = path.rsplit_once('/').unwrap();
    let parent = document.pointer_mut(parent).unwrap_or_else(|| panic!("{field}"));
    parent[name] = value;
}

/// Collects the paths of all values that are not objects, and of lists as well as their elements.
fn fields(prefix: &str, value: &Value, found: &mut BTreeSet<String>) {
    let path = |name: &str| match prefix {
        "" => name.to_owned(),
        _ => format!("{prefix}.{name}"),
    };
    match value {
        Value::Object(map) => {
            if map.contains_key("NAME") {
                found.insert(prefix.to_owned());
            }
            map.iter().for_each(|(name, inner)| fields(&path(name), inner, found));
        }
        Value::Array(list) => {
            found.insert(prefix.to_owned());
            list.iter().for_each(|inner| fields(&format!("{prefix}[]"), inner, found));
        }
        _ => {
            found.insert(prefix.to_owned());
        }
    }
}

fn number(text: &str) -> Option<u128> {
    text.replace(',', "").parse().ok()
}

#[test]
fn page_lists_every_field() {
    for kind in kinds() {
        let parsed = kind.read(&kind.full).unwrap();
        let mut expected = BTreeSet::new();
        fields("", &parsed, &mut expected);
        let rows = kind.rows();
        let listed: BTreeSet<_> = rows.iter().map(|row| row.field.clone()).collect();
        assert_eq!(listed, expected, "{}", kind.section);
        assert_eq!(rows.len(), listed.len(), "{}: a field is listed twice", kind.section);
    }
}

#[test]
fn page_states_defaults() {
    for kind in kinds() {
        let parsed = kind.read(&kind.minimal).unwrap();
        for row in kind.rows() {
            let found = parsed.pointer(&pointer(&row.field));
            let value = found.filter(|value| !value.is_null());
            let expected = match row.default.as_str() {
                // Elements of a list have no default.
                "none" => None,
                "required" => {
                    assert_required(&kind, &row.field);
                    continue;
                }
                // Default values may be omitted from the serialized document.
                "[]" | "false" if value.is_none() => continue,
                text => {
                    let plain = text.replace(',', "");
                    Some(serde_json::from_str(&plain).unwrap_or_else(|_| json!(text)))
                }
            };
            assert_eq!(value.cloned(), expected, "{}: {}", kind.section, row.field);
        }
    }
}

fn assert_required(kind: &DocumentKind, field: &str) {
    let mut document = kind.full.clone();
    let path = pointer(field);
    let (parent, name) = path.rsplit_once('/').unwrap();
    let parent = document.pointer_mut(parent).and_then(Value::as_object_mut).unwrap();
    assert!(parent.remove(name).is_some(), "{field}");
    assert!(
        kind.read(&document).is_err(),
        "{}: {field} is listed as required but can be omitted",
        kind.section
    );
}

#[test]
fn page_states_limits() {
    let mut checked = 0;
    for kind in kinds() {
        for row in kind.rows() {
            let Some((low, high)) = row.allowed.split_once(" to ") else {
                continue;
            };
            // This limit refers to another field, which has its default value here.
            let low = if low == "`slots`" { "12" } else { low };
            let (low, high) = (number(low).unwrap(), number(high).unwrap());
            for value in [low, high] {
                assert!(kind.accepts(&row.field, value), "{} = {value}", row.field);
            }
            for value in [low.checked_sub(1), high.checked_add(1)].into_iter().flatten() {
                assert!(!kind.accepts(&row.field, value), "{} = {value}", row.field);
            }
            checked += 1;
        }
    }
    assert!(checked > 15, "only {checked} rows state limits");
}

#[test]
fn page_states_choices() {
    for kind in kinds() {
        for row in kind.rows() {
            let choices: Vec<_> = row.allowed.split('`').skip(1).step_by(2).collect();
            if choices.len() < 2 || row.allowed.contains(" to ") {
                continue;
            }
            for choice in choices {
                let mut document = kind.full.clone();
                let value = serde_json::from_str(choice).unwrap_or_else(|_| json!(choice));
                set(&mut document, &row.field, value);
                assert!(kind.read(&document).is_ok(), "{} = {choice}", row.field);
            }
        }
    }
}
