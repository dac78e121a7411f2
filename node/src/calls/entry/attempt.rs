//! A single attempt of a call: its request body and its result.

use crate::calls::body::Body;
use crate::calls::headers::{self, Verdict};
use crate::calls::pool::Connection;
use hyper::body::{Body as _, Incoming};
use hyper::header::HeaderValue;
use hyper::{Response, StatusCode};
use sycamore_core::Code;
use sycamore_core::call::entry::{AttemptEnd, Input};

#[derive(Debug)]
pub(super) enum HeldBody {
    /// Buffered: can be sent again.
    Whole(bytes::Bytes),
    /// Streamed: `None` once it has been sent.
    Stream(Option<Box<Body>>),
}

impl HeldBody {
    pub(super) fn is_whole(&self) -> bool {
        !matches!(self, HeldBody::Stream(None))
    }

    /// Whether it can be sent by two attempts at the same time.
    pub(super) fn is_held(&self) -> bool {
        matches!(self, HeldBody::Whole(_))
    }

    pub(super) fn take(&mut self) -> Option<Body> {
        match self {
            HeldBody::Whole(buf) => Some(Body::buffered(buf.clone())),
            HeldBody::Stream(body) => body.take().map(|body| *body),
        }
    }

    pub(super) fn put_back(&mut self, unsent: Body) {
        if let HeldBody::Stream(body) = self {
            *body = Some(Box::new(unsent));
        }
    }
}

/// Result of an attempt.
#[derive(Debug)]
pub(super) enum Attempt {
    Answer(Response<Incoming>, Connection),
    Ended(AttemptEnd),
    /// The deadline passed.
    Late {
        sent: bool,
    },
}

/// Code of a failed attempt, and whether the target may have run the request.
pub(super) fn failure(input: &Input<'_>) -> (Code, bool) {
    match input {
        Input::Attempt { end, .. } => end_code(end),
        Input::Expire { sent, .. } => (Code::DeadlinePassed, *sent),
        _ => (Code::AnswerLost, true),
    }
}

/// Code of an attempt's end, and whether the target may have run the request.
pub(super) fn end_code(end: &AttemptEnd) -> (Code, bool) {
    match end {
        AttemptEnd::Refused { code, .. } => (*code, false),
        AttemptEnd::Failed { code, .. } => (*code, true),
        AttemptEnd::NotSent => (Code::GatekeeperUnreachable, false),
        AttemptEnd::ConnectionLost => (Code::AnswerLost, true),
        AttemptEnd::LostToHedge => (Code::Overtaken, true),
        AttemptEnd::ResponseStarted { .. } | AttemptEnd::ErrorResponseStarted { .. } => {
            (Code::TargetFailed, true)
        }
    }
}

/// Classifies a target's response by its head.
pub(super) fn answering(response: &Response<Incoming>) -> AttemptEnd {
    let load = headers::load(response.headers());
    let failed = response.status().is_server_error();
    match failed && response.status() != StatusCode::GATEWAY_TIMEOUT {
        true => AttemptEnd::ErrorResponseStarted { load },
        false => AttemptEnd::ResponseStarted { load, waited: headers::waited(response.headers()) },
    }
}

/// Converts a gatekeeper's response to the result of the attempt.
pub(super) fn judge(
    id: &HeaderValue,
    response: Response<Incoming>,
    connection: Connection,
) -> Attempt {
    let crashes = headers::parse_number(response.headers(), &headers::CRASHES).ok().flatten();
    let crashes = crashes.unwrap_or(0).min(u32::MAX.into()) as u32;
    let load = headers::load(response.headers());
    let end = match headers::verdict(&response, id) {
        Verdict::Answered => return Attempt::Answer(response, connection),
        Verdict::NotRun(code, retry_after) => {
            AttemptEnd::Refused { code, retry_after, load, crashes }
        }
        Verdict::Unknown(code) => AttemptEnd::Failed { code, crashes },
        Verdict::Foreign => return Attempt::Ended(AttemptEnd::ConnectionLost),
    };
    if response.body().is_end_stream() {
        connection.release();
    }
    Attempt::Ended(end)
}
