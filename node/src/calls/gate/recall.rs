//! Answers to recalls of entry nodes.

use super::GateAdapter;
use super::target::NoResponse;
use crate::calls::body::{Body, Guard};
use crate::calls::conn_state::{ConnectionState, Phase};
use crate::calls::dialect::Dialect;
use crate::calls::entry::RECALL_PATH;
use crate::calls::headers::{self, CallHead};
use crate::calls::unsent::Unsent;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Method, Request, Response};
use std::sync::Arc;
use std::time::Duration;
use sycamore_core::Code;
use sycamore_core::call::gatekeeper::RecallQuestion;
use sycamore_core::call::{AttemptId, RecallAnswer};

/// Whether a request is a recall. Paths belong to the callers, so a header tells it from their
/// requests; entry nodes remove that header from these.
pub(super) fn is_recall(req: &Request<Incoming>) -> bool {
    req.method() == Method::POST
        && req.uri().path() == RECALL_PATH
        && req.headers().get(headers::RECALL).is_some_and(|value| value == headers::RECALL_ASK)
}

impl GateAdapter {
    pub(super) fn answer_recall(
        &self,
        conn: &Arc<ConnectionState>,
        req: Request<Incoming>,
    ) -> Response<Body> {
        let id = req.headers().get(headers::REQUEST_ID).cloned();
        let (Some(id), Ok(question)) = (id, read_question(&req)) else {
            let id = HeaderValue::from_static("none");
            let unsent = Unsent::drop_request(req);
            let no_response = NoResponse::unsent(unsent, Code::RequestInvalid);
            return self.reject(conn, &id, None, no_response);
        };
        let answer = self.decide_recall(question);
        let mut head = Response::new(());
        let headers = head.headers_mut();
        headers.insert(headers::REQUEST_ID, id);
        headers::write_recall_answer(headers, answer);
        self.write_target_state(headers);
        if self.shared.draining() {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        conn.set_phase(Phase::Response);
        head.map(|()| Body::empty().with_guard(Guard::Connection(conn.clone())))
    }

    /// Decides under the lock that also starts requests.
    fn decide_recall(&self, question: RecallQuestion) -> RecallAnswer {
        let mut out = Vec::new();
        let now = self.shared.clock.now();
        let mut state = self.state.lock();
        let answer = state.gatekeeper.handle_recall(now, question, &mut out);
        let target = state.publish(now, &self.shared);
        let (_, effects) = state.dispatch(now, None, out);
        drop(state);
        self.publish(target);
        self.execute(effects);
        answer
    }
}

/// Identifies the attempt of a forwarded request, if the entry node has numbered it.
pub(super) fn attempt_id<B>(req: &Request<B>) -> Option<AttemptId> {
    let id = req.headers().get(headers::REQUEST_ID)?;
    Some(AttemptId::new(id.as_bytes(), attempt_number(req)?))
}

/// Number of the attempt of a forwarded request.
pub(super) fn attempt_number<B>(req: &Request<B>) -> Option<u32> {
    let attempt = headers::parse_number(req.headers(), &headers::ATTEMPT).ok().flatten()?;
    attempt.try_into().ok()
}

fn read_question(req: &Request<Incoming>) -> Result<RecallQuestion, Code> {
    CallHead::read(req, &Dialect::new())?;
    let age = headers::parse_number(req.headers(), &headers::ATTEMPT_AGE)?;
    let (Some(attempt), Some(age)) = (attempt_id(req), age) else {
        return Err(Code::RequestInvalid);
    };
    Ok(RecallQuestion { attempt, age: Duration::from_millis(age) })
}
