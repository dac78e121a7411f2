//! One attempt of a call: the body that it sends, and what it comes to.

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
    /// In memory: can be sent again.
    Whole(bytes::Bytes),
    /// Passed on as it comes: absent once it has been sent.
    Stream(Option<Box<Body>>),
}

impl HeldBody {
    pub(super) fn is_whole(&self) -> bool {
        !matches!(self, HeldBody::Stream(None))
    }

    /// Whether it can be sent while another attempt sends it.
    pub(super) fn is_held(&self) -> bool {
        matches!(self, HeldBody::Whole(_))
    }

    pub(super) fn take(&mut self) -> Option<Body> {
        match self {
            HeldBody::Whole(buf) => Some(Body::whole(buf.clone())),
            HeldBody::Stream(body) => body.take().map(|body| *body),
        }
    }

    pub(super) fn put_back(&mut self, unsent: Body) {
        if let HeldBody::Stream(body) = self {
            *body = Some(Box::new(unsent));
        }
    }
}

/// What one attempt came to.
#[derive(Debug)]
pub(super) enum Attempt {
    Answer(Response<Incoming>, Connection),
    Ended(AttemptEnd),
    /// The deadline passed.
    Late {
        sent: bool,
    },
}

/// Code of an attempt without an answer, and whether a byte of it may have left.
pub(super) fn failure(input: &Input<'_>) -> (Code, bool) {
    match input {
        Input::Attempt { end, .. } => end_code(end),
        Input::Expire { sent, .. } => (Code::DeadlinePassed, *sent),
        _ => (Code::AnswerLost, true),
    }
}

/// The same by what the attempt came to.
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

/// What the head of a target's answer says.
pub(super) fn answering(response: &Response<Incoming>) -> AttemptEnd {
    let load = headers::load(response.headers());
    let failed = response.status().is_server_error();
    match failed && response.status() != StatusCode::GATEWAY_TIMEOUT {
        true => AttemptEnd::ErrorResponseStarted { load },
        false => AttemptEnd::ResponseStarted { load, waited: headers::waited(response.headers()) },
    }
}

/// Takes a gatekeeper's answer apart.
pub(super) fn judge(
    id: &HeaderValue,
    response: Response<Incoming>,
    connection: Connection,
) -> Attempt {
    let crashes = headers::number(response.headers(), &headers::CRASHES).ok().flatten();
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
        connection.give_back();
    }
    Attempt::Ended(end)
}
