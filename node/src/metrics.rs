//! Counters and gauges of a node, in Prometheus' text form.

use prometheus::{Encoder, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};
use sycamore_core::event::Event;

/// Counters and gauges of a node.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// The version in force.
    pub version_in_force: IntGauge,
    /// Changes of state, by kind.
    pub events: IntCounterVec,
    /// Final outcomes of calls at the entry node, by outcome and code.
    pub outcomes: IntCounterVec,
    /// Attempts forwarded to gatekeepers, by whether they were retries.
    pub attempts: IntCounterVec,
    /// Requests refused at the gatekeeper, by code.
    pub refusals: IntCounterVec,
    /// Requests that the local target runs now.
    pub in_flight: IntGauge,
    /// Requests that wait for the local target.
    pub queued: IntGauge,
    /// Bytes of control traffic sent, by class of the link.
    pub control_bytes: IntCounterVec,
    /// Messages to peers sent, by class of the link.
    pub control_messages: IntCounterVec,
    /// Calls to the platform.
    pub platform_calls: IntCounter,
    /// Connections refused because the limit was reached.
    pub connections_refused: IntCounter,
}

impl Metrics {
    /// A fresh set, registered in a registry of its own.
    pub fn new() -> Metrics {
        let registry = Registry::new();
        let r = &registry;
        Metrics {
            version_in_force: gauge(r, "version_in_force", "Version in force."),
            events: counters(r, "events_total", "Changes of state.", &["kind"]),
            outcomes: counters(r, "outcomes_total", "Outcomes of calls.", &["outcome", "code"]),
            attempts: counters(r, "attempts_total", "Attempts forwarded.", &["kind"]),
            refusals: counters(r, "refusals_total", "Requests not run.", &["code"]),
            in_flight: gauge(r, "in_flight", "Requests that the target runs now."),
            queued: gauge(r, "queued", "Requests that wait for the target."),
            control_bytes: counters(
                r,
                "control_bytes_total",
                "Bytes of control traffic sent.",
                &["link"],
            ),
            control_messages: counters(
                r,
                "control_messages_total",
                "Messages sent to peers.",
                &["link"],
            ),
            platform_calls: counter(r, "platform_calls_total", "Calls to the platform."),
            connections_refused: counter(
                r,
                "connections_refused_total",
                "Connections refused because the limit was reached.",
            ),
            registry,
        }
    }

    /// Counts a change of state.
    pub fn count_event(&self, event: &Event) {
        let kind = serde_json::to_value(event.kind).unwrap_or_default();
        self.events.with_label_values(&[kind.as_str().unwrap_or_default()]).inc();
    }

    /// Everything in Prometheus' text form.
    pub fn to_text(&self) -> Vec<u8> {
        let mut buf = Vec::new();
        // Writing to memory fails only for a family without metrics, which is left out.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut buf);
        buf
    }
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}

const PREFIX: &str = "sycamore";

fn options(name: &str, help: &str) -> Opts {
    Opts::new(name, help).namespace(PREFIX)
}

fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let made = IntCounter::with_opts(options(name, help)).expect("the name is valid");
    registry.register(Box::new(made.clone())).expect("the name is registered once");
    made
}

fn counters(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let made = IntCounterVec::new(options(name, help), labels).expect("the name is valid");
    registry.register(Box::new(made.clone())).expect("the name is registered once");
    made
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let made = IntGauge::with_opts(options(name, help)).expect("the name is valid");
    registry.register(Box::new(made.clone())).expect("the name is registered once");
    made
}
