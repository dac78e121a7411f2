//! Counters and gauges of a node, in Prometheus' text form.

use prometheus::{Encoder, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};
use sycamore_core::Time;
use sycamore_core::event::{Event, EventKind};
use sycamore_core::status::Status;

/// Counters and gauges of a node.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// The version in force.
    pub version_in_force: IntGauge,
    /// The newest version heard of; above `version_in_force` while it is fetched, or if it was
    /// refused.
    pub newest_version_heard: IntGauge,
    /// When the version in force came into force, in seconds since the Unix epoch; 0 for never.
    pub in_force_since_seconds: IntGauge,
    /// When the process started, in seconds since the Unix epoch.
    pub started_seconds: IntGauge,
    /// Whether the platform left this node's last call to it without an answer: 0 or 1.
    pub platform_silent: IntGauge,
    /// Whether the node takes calls: 0 or 1.
    pub ready: IntGauge,
    /// Whether the node takes no new work: 0 or 1.
    pub draining: IntGauge,
    /// Calls being served.
    pub calls_open: IntGauge,
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
            newest_version_heard: gauge(r, "newest_version_heard", "Newest version heard of."),
            in_force_since_seconds: gauge(
                r,
                "in_force_since_seconds",
                "When the version in force came into force, Unix time; 0 for never.",
            ),
            started_seconds: gauge(r, "started_seconds", "When the process started, Unix time."),
            platform_silent: gauge(
                r,
                "platform_silent",
                "Whether the platform left the last call without an answer.",
            ),
            ready: gauge(r, "ready", "Whether the node takes calls."),
            draining: gauge(r, "draining", "Whether the node takes no new work."),
            calls_open: gauge(r, "calls_open", "Calls being served."),
            events: event_counters(r),
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
        self.events.with_label_values(&[event.kind.name()]).inc();
    }

    /// Takes the gauges that follow from the status.
    pub fn observe(&self, status: &Status) {
        let seconds = |time: Time| (time.as_millis() / 1_000) as i64;
        self.newest_version_heard.set(status.newest_heard as i64);
        self.in_force_since_seconds.set(status.in_force_since.map_or(0, seconds));
        self.started_seconds.set(seconds(status.started));
        self.platform_silent.set((status.platform_answers == Some(false)).into());
        self.ready.set(status.ready.into());
        self.draining.set(status.draining.into());
        self.calls_open.set(status.calls_open as i64);
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

/// Counters of changes of state. Every kind counts from zero, so that an alarm on a rise sees the
/// first one.
fn event_counters(registry: &Registry) -> IntCounterVec {
    let made = counters(registry, "events_total", "Changes of state.", &["kind"]);
    for kind in EventKind::ALL {
        made.with_label_values(&[kind.name()]);
    }
    made
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let made = IntGauge::with_opts(options(name, help)).expect("the name is valid");
    registry.register(Box::new(made.clone())).expect("the name is registered once");
    made
}
