//! A single attempt of a call: its request body and its result.

use crate::calls::body::Body;
use crate::calls::headers::{self, ReportedOutcome};
use crate::calls::pool::Connection;
use hyper::body::{Body as _, Incoming};
use hyper::header::HeaderValue;
use hyper::{Response, StatusCode};
use sycamore_core::Code;
use sycamore_core::call::Evidence;
use sycamore_core::call::entry::{AttemptEnd, Input};

#[derive(Debug)]
pub(super) enum RequestBody {
    /// Buffered: can be sent again.
    Buffered(bytes::Bytes),
    /// Streamed: `None` once it has been sent.
    Stream(Option<Box<Body>>),
}

impl RequestBody {
    pub(super) fn is_replayable(&self) -> bool {
        !matches!(self, RequestBody::Stream(None))
    }

    /// Whether it can be sent by two attempts at the same time.
    pub(super) fn is_buffered(&self) -> bool {
        matches!(self, RequestBody::Buffered(_))
    }

    pub(super) fn take(&mut self) -> Option<Body> {
        match self {
            RequestBody::Buffered(buf) => Some(Body::buffered(buf.clone())),
            RequestBody::Stream(body) => body.take().map(|body| *body),
        }
    }

    pub(super) fn restore(&mut self, unsent: Body) {
        if let RequestBody::Stream(body) = self {
            *body = Some(Box::new(unsent));
        }
    }
}

/// Result of an attempt.
#[derive(Debug)]
pub(super) enum AttemptResult {
    Response(Response<Incoming>, Connection),
    Ended(AttemptEnd),
    DeadlinePassed { sent: bool },
}

/// Why an attempt failed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Failure {
    pub(super) code: Code,
    /// What shows that the target has not run the request; absent if it may have.
    pub(super) evidence: Option<Evidence>,
}

impl Failure {
    pub(super) fn new(code: Code, evidence: Option<Evidence>) -> Failure {
        Failure { code, evidence }
    }

    pub(super) fn of_input(input: &Input<'_>) -> Failure {
        match input {
            Input::Attempt { end, .. } => Failure::of_end(end),
            Input::Expire { sent, .. } => {
                Failure::new(Code::DeadlinePassed, (!sent).then_some(Evidence::Unsent))
            }
            _ => Failure::new(Code::AnswerLost, None),
        }
    }

    pub(super) fn of_end(end: &AttemptEnd) -> Failure {
        match end {
            AttemptEnd::Rejected { code, .. } => {
                Failure::new(*code, Some(Evidence::of_rejection(*code)))
            }
            AttemptEnd::Failed { code, .. } => Failure::new(*code, None),
            AttemptEnd::NotSent => {
                Failure::new(Code::GatekeeperUnreachable, Some(Evidence::Unsent))
            }
            AttemptEnd::ConnectionLost => Failure::new(Code::AnswerLost, None),
            AttemptEnd::LostToHedge => Failure::new(Code::Overtaken, None),
            AttemptEnd::ResponseStarted { .. } | AttemptEnd::ErrorResponseStarted { .. } => {
                Failure::new(Code::TargetFailed, None)
            }
        }
    }
}

/// Classifies a target's response by its head.
pub(super) fn classify_response(response: &Response<Incoming>) -> AttemptEnd {
    let load = headers::load(response.headers());
    let failed = response.status().is_server_error();
    match failed && response.status() != StatusCode::GATEWAY_TIMEOUT {
        true => AttemptEnd::ErrorResponseStarted { load },
        false => AttemptEnd::ResponseStarted { load, waited: headers::waited(response.headers()) },
    }
}

/// Converts a gatekeeper's response to the result of the attempt.
pub(super) fn parse_response(
    id: &HeaderValue,
    response: Response<Incoming>,
    connection: Connection,
) -> AttemptResult {
    let crashes = headers::parse_number(response.headers(), &headers::CRASHES).ok().flatten();
    let crashes = crashes.unwrap_or(0).min(u32::MAX.into()) as u32;
    let load = headers::load(response.headers());
    let end = match headers::reported_outcome(&response, id, connection.is_first_response()) {
        ReportedOutcome::Answered => return AttemptResult::Response(response, connection),
        ReportedOutcome::NotRun(code, retry_after) => {
            AttemptEnd::Rejected { code, retry_after, load, crashes }
        }
        ReportedOutcome::Unknown(code) => AttemptEnd::Failed { code, crashes },
        ReportedOutcome::Foreign => return AttemptResult::Ended(AttemptEnd::ConnectionLost),
    };
    if response.body().is_end_stream() {
        connection.release();
    }
    AttemptResult::Ended(end)
}
