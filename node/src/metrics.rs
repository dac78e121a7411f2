//! Prometheus metrics of a node.

mod families;

use families::Families;
use prometheus::{Gauge, HistogramVec, IntCounter, IntCounterVec, IntGauge};
use std::time::Duration;
use sycamore_core::Time;
use sycamore_core::call::admit::{ParkedReport, RefusalReason, Refusals};
use sycamore_core::config::Class;
use sycamore_core::event::{Event, EventKind};
use sycamore_core::status::Status;

/// All metrics of a node.
#[derive(Debug)]
pub struct Metrics {
    families: Families,
    pub version_in_force: IntGauge,
    /// Newest version known. Exceeds `version_in_force` while that version is being fetched, or if
    /// it was refused.
    pub newest_version_heard: IntGauge,
    /// Time at which the version in force was applied, in seconds since the Unix epoch; 0 if none
    /// was.
    pub in_force_since_seconds: IntGauge,
    /// Process start time, in seconds since the Unix epoch.
    pub started_seconds: IntGauge,
    /// Whether a peer has confirmed the version in force since the start or the last clock gap: 0
    /// or 1.
    pub confirmed: IntGauge,
    /// Whether the node's last call to the platform got no response: 0 or 1.
    pub platform_silent: IntGauge,
    /// Whether the node accepts calls: 0 or 1.
    pub ready: IntGauge,
    /// Whether the node is draining: 0 or 1.
    pub draining: IntGauge,
    /// Calls in progress.
    pub calls_open: IntGauge,
    /// State change events, by kind.
    pub events: IntCounterVec,
    /// Final call outcomes at the entry node, by outcome and code.
    pub outcomes: IntCounterVec,
    /// Attempts forwarded to gatekeepers, by kind (first attempt or retry).
    pub attempts: IntCounterVec,
    /// Questions to gatekeepers about attempts without a response, by answer.
    pub recalls: IntCounterVec,
    /// Requests refused by the gatekeeper, by code.
    pub refusals: IntCounterVec,
    /// Requests running on the local target.
    pub in_flight: IntGauge,
    /// Requests queued for the local target.
    pub queued: IntGauge,
    /// Requests parked for the local target.
    pub parked: IntGauge,
    /// The most requests that have been parked at once.
    pub parked_peak: IntGauge,
    /// Requests with ample slack refused by the gatekeeper, by class and reason.
    pub parked_refusals: IntCounterVec,
    /// Whether the local target states a rate limit: 0 or 1.
    pub target_limited: IntGauge,
    /// Rate limit that the local target states, in requests per second; 0 without a limit.
    pub target_rate_limit: Gauge,
    /// Whether the local target states that it is leaving: 0 or 1.
    pub target_leaving: IntGauge,
    /// Whether the local target counts as cold: 0 or 1.
    pub target_cold: IntGauge,
    /// Requests sent to the local target while it counted as cold.
    pub cold_starts: IntCounter,
    /// Requests that wait for a connection to the local target.
    pub awaiting_connection: IntGauge,
    /// Requests that have had to wait for a connection to the local target.
    pub connection_waits: IntCounter,
    /// Requests sent to the local target.
    pub target_requests: IntCounter,
    /// Responses of the local target that belong to another request.
    pub foreign_responses: IntCounter,
    /// Attempts that arrived after they had been recalled, and were rejected.
    pub late_attempts: IntCounter,
    /// Responses of the local target with a known header that can't be read.
    pub unreadable_headers: IntCounter,
    /// Headers in responses of the local target that are not known to this version.
    pub unknown_headers: IntCounter,
    /// Control traffic sent in bytes, by link class.
    pub control_bytes: IntCounterVec,
    /// Messages sent to peers, by link class.
    pub control_messages: IntCounterVec,
    /// Calls to the platform.
    pub platform_calls: IntCounter,
    /// Responses of the platform that were given up because of their size.
    pub platform_too_large: IntCounter,
    /// Time of the platform's last response to the node that this one's state comes from, in seconds
    /// since the Unix epoch; 0 before the first.
    pub platform_responded_seconds: Gauge,
    /// Age of the state held: time since the platform's last response that it rests on, in seconds;
    /// -1 if that is unknown.
    pub state_age_seconds: Gauge,
    /// Time from the head of a response of the platform to its decoded content, by kind of call.
    pub platform_transfer_seconds: HistogramVec,
    /// Time from the end of a call to the platform until its result was applied, by kind of call.
    pub platform_apply_seconds: HistogramVec,
    /// Targets retained although their entries are missing in the platform's store.
    pub targets_retained: IntGauge,
    /// Connections refused at the connection limit.
    pub connections_refused: IntCounter,
    /// Response bytes that were received and are not yet written to their readers.
    pub reader_buffered_bytes: IntGauge,
    /// Time from the request head to the response head at the entry node, by traffic class.
    pub call_seconds: HistogramVec,
    /// Queueing time for a slot of the local target, by traffic class.
    pub wait_seconds: HistogramVec,
    /// Time from the last request byte to the local target's response head, by traffic class.
    pub run_seconds: HistogramVec,
}

impl Metrics {
    /// Creates the metrics in a registry of their own.
    pub fn new() -> Metrics {
        let mut families = Families::new();
        let r = &mut families;
        Metrics {
            version_in_force: r.gauge("version_in_force", "Version in force."),
            newest_version_heard: r.gauge("newest_version_heard", "Newest version heard of."),
            in_force_since_seconds: r.gauge(
                "in_force_since_seconds",
                "When the version in force came into force, Unix time; 0 for never.",
            ),
            started_seconds: r.gauge("started_seconds", "When the process started, Unix time."),
            confirmed: r.gauge("confirmed", "Whether a peer confirmed the version in force."),
            platform_silent: r.gauge(
                "platform_silent",
                "Whether the platform left the last call without an answer.",
            ),
            ready: r.gauge("ready", "Whether the node takes calls."),
            draining: r.gauge("draining", "Whether the node takes no new work."),
            calls_open: r.gauge("calls_open", "Calls being served."),
            events: event_counters(r),
            outcomes: r.counters("outcomes_total", "Outcomes of calls.", &["outcome", "code"]),
            attempts: r.counters("attempts_total", "Attempts forwarded.", &["kind"]),
            recalls: r.counters("recalls_total", "Recalls of attempts.", &["answer"]),
            refusals: r.counters("refusals_total", "Requests not run.", &["code"]),
            in_flight: r.gauge("in_flight", "Requests that the target runs now."),
            queued: r.gauge("queued", "Requests that wait for the target."),
            parked: r.gauge("parked", "Requests that are parked for the target."),
            parked_peak: r.gauge("parked_peak", "Most requests parked at once."),
            parked_refusals: r.counters(
                "parked_refusals_total",
                "Requests with ample slack that were not run.",
                &["class", "reason"],
            ),
            target_limited: r.gauge("target_limited", "Whether the target states a rate limit."),
            target_rate_limit: r.float_gauge(
                "target_rate_limit",
                "Requests a second that the target accepts; 0 without a limit.",
            ),
            target_leaving: r.gauge("target_leaving", "Whether the target states that it leaves."),
            target_cold: r.gauge("target_cold", "Whether the target counts as cold."),
            cold_starts: r
                .counter("cold_starts_total", "Requests sent to the target while it was cold."),
            awaiting_connection: r
                .gauge("awaiting_connection", "Requests that wait for a connection to the target."),
            connection_waits: r.counter(
                "connection_waits_total",
                "Requests that had to wait for a connection to the target.",
            ),
            target_requests: r.counter("target_requests_total", "Requests sent to the target."),
            foreign_responses: r.counter(
                "foreign_responses_total",
                "Answers of the target that belong to another request.",
            ),
            late_attempts: r.counter(
                "late_attempts_total",
                "Attempts that arrived after they had been recalled.",
            ),
            unreadable_headers: r.counter(
                "unreadable_headers_total",
                "Answers of the target with a header that can't be read.",
            ),
            unknown_headers: r.counter(
                "unknown_headers_total",
                "Headers in answers of the target that are not known.",
            ),
            control_bytes: r.counters(
                "control_bytes_total",
                "Bytes of control traffic sent.",
                &["link"],
            ),
            control_messages: r.counters(
                "control_messages_total",
                "Messages sent to peers.",
                &["link"],
            ),
            platform_calls: r.counter("platform_calls_total", "Calls to the platform."),
            platform_too_large: r.counter(
                "platform_too_large_total",
                "Answers of the platform that were given up because of their size.",
            ),
            platform_responded_seconds: r.float_gauge(
                "platform_responded_seconds",
                "When the platform last responded for the state held, Unix time; 0 for never.",
            ),
            state_age_seconds: r.float_gauge(
                "state_age_seconds",
                "Time since the platform's response that the state held rests on; -1 if unknown.",
            ),
            platform_transfer_seconds: r.histograms(
                "platform_transfer_seconds",
                "Time from the head of an answer of the platform to its content.",
                &["call"],
            ),
            platform_apply_seconds: r.histograms(
                "platform_apply_seconds",
                "Time from the end of a call to the platform until it took effect.",
                &["call"],
            ),
            targets_retained: r
                .gauge("targets_retained", "Targets kept although their entries are missing."),
            connections_refused: r.counter(
                "connections_refused_total",
                "Connections refused because the limit was reached.",
            ),
            reader_buffered_bytes: r.gauge(
                "reader_buffered_bytes",
                "Bytes of answers held now until their readers take them.",
            ),
            call_seconds: r.histograms(
                "call_seconds",
                "Time to the head of an answer.",
                &["class"],
            ),
            wait_seconds: r.histograms("wait_seconds", "Wait for the local target.", &["class"]),
            run_seconds: r.histograms("run_seconds", "Run time at the local target.", &["class"]),
            families,
        }
    }

    /// Records the duration of a request of the given class.
    pub fn observe_duration(histograms: &HistogramVec, class: Class, duration: Duration) {
        histograms.with_label_values(&[class.label()]).observe(duration.as_secs_f64());
    }

    /// Publishes the parked requests and what has been refused since `before`.
    pub fn update_parked(&self, report: &ParkedReport, before: &Refusals) {
        self.parked.set(report.now.into());
        self.parked_peak.set(report.peak.into());
        for class in [Class::Gating, Class::Interactive, Class::Bulk] {
            for reason in RefusalReason::ALL {
                let count =
                    report.refusals.of(class, reason).wrapping_sub(before.of(class, reason));
                if count > 0 {
                    let labels = [class.label(), reason.label()];
                    self.parked_refusals.with_label_values(&labels).inc_by(count.into());
                }
            }
        }
    }

    /// Counts a state change event.
    pub fn count_event(&self, event: &Event) {
        self.events.with_label_values(&[event.kind.name()]).inc();
    }

    /// Updates the gauges derived from the status.
    pub fn update_gauges(&self, status: &Status) {
        let seconds = |time: Time| (time.as_millis() / 1_000) as i64;
        self.newest_version_heard.set(status.newest_heard as i64);
        self.in_force_since_seconds.set(status.in_force_since.map_or(0, seconds));
        self.started_seconds.set(seconds(status.started));
        self.confirmed.set(status.confirmed.into());
        self.platform_silent.set((status.platform_answers == Some(false)).into());
        self.ready.set(status.ready.into());
        self.draining.set(status.draining.into());
        self.calls_open.set(status.calls_open as i64);
        let responded = self.platform_responded_seconds.get();
        let age = status.now.as_millis() as f64 / 1_000.0 - responded;
        self.state_age_seconds.set(if responded > 0.0 { age.max(0.0) } else { -1.0 });
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn to_text(&self) -> Vec<u8> {
        self.families.to_text()
    }

    /// Names of all metrics, including those without a value.
    pub fn names(&self) -> &[String] {
        self.families.names()
    }
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}

/// Counts one in a gauge until it is dropped.
#[derive(Debug)]
pub struct GaugeGuard(IntGauge);

impl GaugeGuard {
    pub fn new(gauge: &IntGauge) -> GaugeGuard {
        gauge.inc();
        GaugeGuard(gauge.clone())
    }
}

impl Drop for GaugeGuard {
    fn drop(&mut self) {
        self.0.dec();
    }
}

/// Registers the event counters. Each kind is initialised to zero, so that alerts on an increase
/// detect the first event.
fn event_counters(families: &mut Families) -> IntCounterVec {
    let counters = families.counters("events_total", "Changes of state.", &["kind"]);
    for kind in EventKind::ALL {
        counters.with_label_values(&[kind.name()]);
    }
    counters
}
