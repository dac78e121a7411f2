//! Tests of the combined node state machine.

use std::collections::BTreeMap;
use std::time::Duration;
use sycamore_core::call::{CallKey, entry};
use sycamore_core::hash::Hash;
use sycamore_core::node::{Input, Node, Output};
use sycamore_core::place::Place;
use sycamore_core::spread::port::{Config, SourceReply, SourceValue};
use sycamore_core::spread::{self, SourceCall};
use sycamore_core::{Name, Time};

const BODY: &str = r#"{"name":"ordinary","services":{"roster":{"targets":[
{"vm":"a","region":"r","zone":"z","gate":"127.0.0.1:1","peers":"127.0.0.1:9"}]}},
"routes":{"rosters":{"path_prefix":"/rosters","service":"roster","idempotent":true}}}"#;

fn name(text: &'static str) -> Name {
    Name::new(text).unwrap()
}

fn config() -> Config {
    Config {
        vm: name("a"),
        place: Place { region: name("r"), zone: name("z") },
        address: "127.0.0.1:2".parse().unwrap(),
        seeds: Vec::new(),
        scope: None,
        platform_region: None,
        fleet_vms: 1,
        first_configuration: Duration::from_secs(1),
    }
}

fn value(call: &SourceCall) -> Option<String> {
    let digest = Hash::of(BODY.as_bytes());
    match call.key.as_str() {
        "in-force" => Some(format!(r#"{{"version":1,"preset":"ordinary","digest":"{digest}"}}"#)),
        "preset/ordinary" => Some(BODY.to_owned()),
        "zones" => Some(r#"{"zones":[{"region":"r","zone":"z"}]}"#.to_owned()),
        "vms/z" => Some(
            r#"{"vms":[{"vm":"a","region":"r","zone":"z","peers":"127.0.0.1:2",
            "admin":"127.0.0.1:3","state":"live"}]}"#
                .to_owned(),
        ),
        _ => None,
    }
}

fn reply(call: &SourceCall, body: Option<String>) -> Input<'static> {
    let body = body.map(Into::into);
    let result = Ok(SourceValue { index: 1, body });
    Input::Spread(spread::Input::Source(SourceReply { id: call.id, result }))
}

fn arrive(node: &mut Node, now: Time) -> Vec<Output> {
    let arrival =
        entry::Arrival { body_bytes: Some(0), ..entry::Arrival::new(CallKey(1), "", "/rosters/7") };
    let mut out = Vec::new();
    node.handle(now, Input::Entry(entry::Input::Arrive(arrival)), &mut out);
    out
}

fn is_forward(output: &Output) -> bool {
    matches!(output, Output::Entry(entry::Output::Forward(_)))
}

/// Lets time pass. The platform responds to calls that do not know the index of its values yet.
fn run(
    node: &mut Node,
    now: &mut Time,
    span: Duration,
    mut respond: impl FnMut(&SourceCall) -> Option<String>,
) {
    let end = *now + span;
    let mut out = Vec::new();
    node.handle(*now, Input::Spread(spread::Input::Start), &mut out);
    while *now < end {
        *now = *now + Duration::from_millis(20);
        let calls: Vec<SourceCall> = out
            .drain(..)
            .filter_map(|output| match output {
                Output::Spread(spread::Output::ReadSource(call)) if call.index == 0 => Some(call),
                _ => None,
            })
            .collect();
        for call in &calls {
            let body = respond(call);
            node.handle(*now, reply(call, body), &mut out);
        }
        node.handle(*now, Input::Spread(spread::Input::Wake), &mut out);
    }
}

/// Guards against a value that is missed until it changes again because the response with it was broken:
/// the platform does not respond to a call that knows its index.
#[test]
fn broken_platform_responses_are_read_again() {
    let mut now = Time::from_millis(1_000_000);
    let mut node = Node::new(config(), now, 7);
    let mut reads = BTreeMap::new();
    run(&mut node, &mut now, Duration::from_secs(12), |call| {
        let reads: &mut u32 = reads.entry(call.key.to_string()).or_default();
        *reads += 1;
        let whole = value(call)?;
        let end = if *reads == 1 { whole.len() / 2 } else { whole.len() };
        Some(whole[..end].to_owned())
    });
    for key in ["in-force", "preset/ordinary", "zones", "vms/z"] {
        assert!(reads.get(key).is_some_and(|reads| *reads > 1), "{key}: {reads:?}");
    }
    assert_eq!(node.spread().in_force().map(|in_force| in_force.version), Some(1));
}

#[test]
fn published_version_reaches_call_path() {
    let mut now = Time::from_millis(1_000_000);
    let mut node = Node::new(config(), now, 7);
    assert!(!arrive(&mut node, now).iter().any(is_forward), "forwarded without a configuration");
    run(&mut node, &mut now, Duration::from_secs(4), value);
    assert_eq!(node.spread().in_force().map(|in_force| in_force.version), Some(1));
    assert!(arrive(&mut node, now).iter().any(is_forward), "not forwarded to the route's target");
}
