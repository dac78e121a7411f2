//! Determines from log lines why a request ended.

use super::{TraceLine, format_code};
use indexmap::IndexSet;
use sycamore_core::Code;
use sycamore_node::calls::trace::Step;

/// Describes the cause on one line.
pub fn describe_cause(lines: &[TraceLine]) -> String {
    let Some(last) = lines.iter().rfind(|line| matches!(line.step, Step::Answered | Step::Ended))
    else {
        return unfinished_cause(lines);
    };
    match last.step {
        Step::Answered => answered_cause(lines, last),
        _ => ended_cause(lines, last),
    }
}

/// Describes a request whose end was not logged by any entry node.
fn unfinished_cause(lines: &[TraceLine]) -> String {
    match lines.last() {
        Some(TraceLine { step: Step::GateConnecting, vm, .. }) => {
            format!("it waited for a connection to the target beside {vm}, and no end was logged")
        }
        Some(TraceLine { step: Step::GateRun, vm, .. }) => format!(
            "it ran on the target beside {vm}, but no entry node logged its end: the entry node \
             exited or its log lines were dropped"
        ),
        _ => "no entry node logged its end: the entry node exited or its log lines were dropped"
            .to_owned(),
    }
}

fn answered_cause(lines: &[TraceLine], last: &TraceLine) -> String {
    let failures = lines.iter().filter(|line| line.step == Step::AttemptFailed).count();
    let queued = lines.iter().any(|line| line.step == Step::GateQueued);
    let status = last.status.unwrap_or_default();
    let origin = if status >= 500 { "the target's own failure" } else { "the target's answer" };
    let queue_note = if queued { ", after waiting for a slot" } else { "" };
    match failures {
        0 => format!("{origin}, status {status}{queue_note}"),
        _ => {
            format!("{origin}, status {status}, after {failures} failed attempts{queue_note}")
        }
    }
}

fn ended_cause(lines: &[TraceLine], last: &TraceLine) -> String {
    let number = last.code.and_then(Code::from_number);
    let ran = lines.iter().any(|line| line.step == Step::GateRun);
    let connecting = lines.iter().any(|line| line.step == Step::GateConnecting);
    let queued = lines.iter().any(|line| line.step == Step::GateQueued);
    let last_target = lines.iter().rev().find_map(|line| line.target.as_deref()).unwrap_or("none");
    match number {
        Some(Code::QueueFull) => {
            format!("turned away: {} full{}", refusing_targets(lines), last_refusal_load(lines))
        }
        Some(Code::QueueTimeout) => {
            "turned away after waiting for a slot: requests that could still be in time went first"
                .to_owned()
        }
        Some(Code::NotConfigured) => {
            "turned away: its entry node had just started and had no configuration yet".to_owned()
        }
        Some(Code::NoRoute) => format!(
            "turned away: version {} in force on the entry node has no route for its path",
            version_text(last)
        ),
        Some(Code::NoTarget) => "turned away: no target of its service can take it".to_owned(),
        Some(Code::DeadlinePassed) if connecting => {
            "late by its wait for a connection to the target: none became free before the deadline"
                .to_owned()
        }
        Some(Code::DeadlinePassed) if ran => {
            format!("late by its run: {last_target} had it until the deadline")
        }
        Some(Code::DeadlinePassed) if queued => {
            "late by its wait for a slot: no slot became free before the deadline".to_owned()
        }
        Some(Code::DeadlinePassed) => {
            format!("late in transit: no gatekeeper logged its arrival; last sent to {last_target}")
        }
        Some(Code::AnswerLost) => {
            format!(
                "sent and lost: the node beside {last_target} went away or its connection broke"
            )
        }
        Some(Code::TargetFailed) => {
            format!("sent and lost: target {last_target} closed the connection before it answered")
        }
        Some(Code::GatekeeperUnreachable) => {
            format!("not sent: {last_target} could not be reached")
        }
        _ => format!("ended with {}", format_code(last.code)),
    }
}

/// Formats the targets whose gatekeepers refused the request.
fn refusing_targets(lines: &[TraceLine]) -> String {
    let refused = lines.iter().filter(|line| line.step == Step::GateRefused);
    let vms: IndexSet<&str> = refused.map(|line| line.vm.as_str()).collect();
    let names: Vec<&str> = vms.into_iter().collect();
    match names.as_slice() {
        [] => "the target was".to_owned(),
        [one] => format!("the target beside {one} was"),
        several => format!("the targets beside {} were", several.join(", ")),
    }
}

/// Formats the load that was logged with the last refusal.
fn last_refusal_load(lines: &[TraceLine]) -> String {
    let refused = lines.iter().rfind(|line| line.step == Step::GateRefused);
    match refused.and_then(|line| line.load.as_deref()) {
        Some(load) => {
            format!(", load {load} (running/slots/waiting/ms that a newcomer would wait)")
        }
        None => String::new(),
    }
}

fn version_text(line: &TraceLine) -> String {
    line.version.map_or_else(|| "none".to_owned(), |version| version.to_string())
}
