//! Structured log lines about single requests, one per decision.
//!
//! docs/OPERATIONS.md describes how to find the cause of a failed request by its id.

use super::pool::ConnectionUse;
use crate::shared::Shared;
use hyper::header::HeaderValue;
use serde::{Deserialize, Serialize};
use sycamore_core::Code;
use sycamore_core::call::entry::Forward;
use sycamore_core::call::{Evidence, Load, Outcome, RateLimit};

/// Log target of records whose message is a JSON object.
pub const REQUEST_LOG_TARGET: &str = "request";

/// Step of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// The entry node forwards it to a target's gatekeeper.
    Forwarded,
    /// An attempt failed; the entry node retries or ends the request.
    AttemptFailed,
    /// The entry node asked the gatekeeper whether an attempt has started.
    Recalled,
    /// The target's response is forwarded to the caller.
    Answered,
    /// The entry node ended the request without a response from a target.
    Ended,
    /// The gatekeeper rejected it or got no response.
    GateRefused,
    /// The gatekeeper queued it until a slot is free.
    GateQueued,
    /// The gatekeeper gave it a slot of the target.
    GateRun,
    /// The gatekeeper hands it to a connection to the target.
    GateSent,
    /// It waits until a connection to the target is free.
    GateConnecting,
}

/// Fields of a log line; unset fields are omitted.
#[derive(Debug, Default, Serialize)]
pub struct Fields<'a> {
    /// Number of the attempt, from 1.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub attempt: Option<u32>,
    /// Name of the target.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub target: Option<&'a str>,
    /// Requested service.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub service: Option<&'a str>,
    /// Result code.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub code: Option<u16>,
    /// `answered`, `not-run` or `unknown`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub outcome: Option<&'static str>,
    /// HTTP status of the response.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub status: Option<u16>,
    /// Version in force at this node.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub version: Option<u64>,
    /// Remaining time of the request in ms.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub left_ms: Option<u64>,
    /// Expected response time in ms.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub expected_ms: Option<u64>,
    /// Load of the target, as running/slots/waiting.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub load: Option<String>,
    /// Age of that load in ms.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub load_age_ms: Option<u64>,
    /// Rate limit that the target states, in requests per second.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rate_limit: Option<f64>,
    /// Time after which the caller should retry, in ms.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Answer to a recall.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub recall: Option<&'static str>,
    /// Whether the target may have run the request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub sent: Option<bool>,
    /// What shows that the attempt has not run.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub evidence: Option<&'static str>,
    /// Number of the connection to the target, from 1 in each process.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub connection: Option<u64>,
    /// Requests that this connection carried before.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub carried: Option<u32>,
    /// Recent starts that count against the limit of the local target, if it counts as cold.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cold_starts: Option<usize>,
}

#[derive(Serialize)]
struct StepRecord<'a> {
    vm: &'a str,
    request: &'a str,
    step: Step,
    #[serde(flatten)]
    fields: Fields<'a>,
}

/// Logs a step of a request. Requests that ended without a response are logged as warnings.
pub fn log_step(shared: &Shared, id: &HeaderValue, step: Step, fields: Fields<'_>) {
    let level = match step {
        Step::Ended => log::Level::Warn,
        _ => log::Level::Info,
    };
    if !log::log_enabled!(target: REQUEST_LOG_TARGET, level) {
        return;
    }
    let request = id.to_str().unwrap_or("unprintable");
    let record = StepRecord { vm: shared.settings.vm.as_str(), request, step, fields };
    // The fields are plain values, so serialization cannot fail.
    let text = serde_json::to_string(&record).unwrap_or_default();
    log::log!(target: REQUEST_LOG_TARGET, level, "{text}");
}

impl<'a> Fields<'a> {
    pub fn of_forward(shared: &Shared, forward: &'a Forward) -> Fields<'a> {
        let now = shared.clock.now();
        let estimate = &forward.estimate;
        Fields {
            attempt: Some(forward.attempt),
            target: Some(forward.vm.as_str()),
            service: Some(forward.terms.service.as_str()),
            version: shared.in_force().map(|snapshot| snapshot.version()),
            left_ms: Some(forward.deadline.since(now).as_millis() as u64),
            expected_ms: Some(estimate.expected.as_millis() as u64),
            load: estimate.load.map(|(load, _)| load.to_string()),
            rate_limit: estimate.known_limit.map(RateLimit::per_second),
            load_age_ms: estimate.load.map(|(_, at)| now.since(at).as_millis() as u64),
            ..Fields::default()
        }
    }

    pub fn of_outcome(outcome: Outcome) -> Fields<'a> {
        let evidence = match outcome {
            Outcome::NotRun { code, .. } => Some(Evidence::of_rejection(code)),
            Outcome::Answered | Outcome::Unknown { .. } => None,
        };
        let (outcome, code, retry_after) = match outcome {
            Outcome::Answered => ("answered", None, None),
            Outcome::NotRun { code, retry_after } => ("not-run", Some(code), Some(retry_after)),
            Outcome::Unknown { code } => ("unknown", Some(code), None),
        };
        Fields {
            evidence: evidence.map(Evidence::label),
            outcome: Some(outcome),
            code: code.map(Code::number),
            retry_after_ms: retry_after.map(|wait| wait.as_millis() as u64),
            ..Fields::default()
        }
    }

    /// Adds the number of the attempt, if the entry node has sent one.
    pub fn with_attempt(mut self, attempt: Option<u32>) -> Fields<'a> {
        self.attempt = attempt;
        self
    }

    /// Adds what shows that the attempt has not run.
    pub fn with_evidence(mut self, evidence: Option<Evidence>) -> Fields<'a> {
        self.evidence = evidence.map(Evidence::label);
        self
    }

    /// Adds the connection to the target.
    pub fn with_connection(mut self, connection: Option<ConnectionUse>) -> Fields<'a> {
        self.connection = connection.map(|used| used.number);
        self.carried = connection.map(|used| used.carried);
        self
    }

    /// Adds the recent starts at the local target, if it counts as cold.
    pub fn with_cold_starts(mut self, starts: Option<usize>) -> Fields<'a> {
        self.cold_starts = starts;
        self
    }

    /// Adds the load of the local target.
    pub fn with_load(mut self, load: Load) -> Fields<'a> {
        self.load = Some(load.to_string());
        self
    }
}
