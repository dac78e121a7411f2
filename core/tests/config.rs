//! Validation of published documents.

use sycamore_core::Code;
use sycamore_core::config::{InForce, validate};
use sycamore_core::hash::Hash;

const PRESET: &str = r#"{"name":"ordinary","services":{"roster":{"targets":[
{"vm":"a","region":"r","zone":"z","gate":"127.0.0.1:1","peers":"127.0.0.1:9"}]}},
"routes":{"rosters":{"path_prefix":"/rosters","service":"roster","idempotent":true}}}"#;

fn publication(body: &str) -> InForce {
    let json =
        format!(r#"{{"version":1,"preset":"ordinary","digest":"{}"}}"#, Hash::of(body.as_bytes()));
    validate::parse_in_force(json.as_bytes()).unwrap()
}

fn check(body: &str) -> Result<(), Code> {
    let preset = validate::parse_preset(body.as_bytes(), &publication(body)).map_err(|f| f.code)?;
    validate::preset(&preset).map_err(|f| f.code)
}

#[test]
fn preset_valid() {
    assert_eq!(check(PRESET), Ok(()));
}

#[test]
fn preset_route_dangling() {
    let body = PRESET.replace(r#""service":"roster""#, r#""service":"maps""#);
    assert_eq!(check(&body), Err(Code::RouteDangling));
}

#[test]
fn preset_unknown_field() {
    let body = PRESET.replace(r#""idempotent":true"#, r#""idempotent":true,"color":1"#);
    assert_eq!(check(&body), Err(Code::DocumentInvalid));
}

#[test]
fn preset_torn() {
    // Guards against a read that races with a publish: the node reads the new `in-force` value but
    // the old body, and would apply old content under the new version.
    let newer = PRESET.replace("/rosters", "/crews");
    let found = validate::parse_preset(PRESET.as_bytes(), &publication(&newer));
    assert_eq!(found.map_err(|f| f.code), Err(Code::DigestMismatch));
}

#[test]
fn preset_trailing_data() {
    // Guards against silently ignoring a second document concatenated to the first, for example by
    // a faulty merge.
    let body = format!("{PRESET}\n{PRESET}");
    assert_eq!(check(&body), Err(Code::DocumentInvalid));
}

#[test]
fn preset_every_fault() {
    let body = PRESET
        .replace(r#""service":"roster""#, r#""service":"maps","deadline_ms":0"#)
        .replace(r#""targets":["#, r#""limits":{"slots":0},"targets":["#);
    let preset = validate::parse_body(body.as_bytes()).unwrap();
    let found: Vec<_> =
        validate::faults(&preset).into_iter().map(|f| (f.code, f.location)).collect();
    let expected = [
        (Code::LimitOutOfRange, "services.roster.limits.slots"),
        (Code::RouteDangling, "routes.rosters.service"),
        (Code::LimitOutOfRange, "routes.rosters.deadline_ms"),
    ];
    assert_eq!(found, expected.map(|(code, place)| (code, place.to_owned())));
}

#[test]
fn preset_duplicate_name() {
    // Guards against silently dropping the first of two services with the same name.
    let again = r#""roster":{"targets":[{"vm":"b","region":"r","zone":"z","gate":"127.0.0.1:2","peers":"127.0.0.1:9"}]}"#;
    let body = PRESET.replace(r#""services":{"#, &format!(r#""services":{{{again},"#));
    assert_eq!(check(&body), Err(Code::DocumentInvalid));
}
