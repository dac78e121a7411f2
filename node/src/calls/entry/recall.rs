//! Questions to gatekeepers about attempts without a response.

use super::EntryAdapter;
use crate::calls::body::Body;
use crate::calls::headers;
use crate::calls::trace::{self, Fields, Step};
use hyper::body::Body as _;
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, StatusCode};
use std::sync::atomic::AtomicBool;
use std::time::Duration;
use sycamore_core::Time;
use sycamore_core::call::entry::{AttemptEnd, Forward, RecallAction, RecallInput};
use sycamore_core::call::recall::RECALL_TIMEOUT;
use sycamore_core::call::{RecallAnswer, RecallReply};

/// Path of the question at the gatekeeper.
pub const RECALL_PATH: &str = "/recall";

/// Label of a question without an answer.
const NO_ANSWER: &str = "no-answer";

/// Result of a recall.
pub(super) enum RecallResult {
    /// Nothing was asked.
    Declined,
    /// The attempt continues and is not recalled again.
    Continue,
    /// The attempt has ended.
    Ended(AttemptEnd),
}

impl EntryAdapter {
    /// Recalls a slow attempt, if the state machine allows it.
    pub(super) async fn recall(
        &self,
        shard: usize,
        id: &HeaderValue,
        forward: &Forward,
    ) -> RecallResult {
        self.recall_after(RecallInput::Due(forward.call), shard, id, forward).await
    }

    /// Returns how an attempt ended whose connection broke.
    pub(super) async fn end_of_lost_attempt(
        &self,
        shard: usize,
        id: &HeaderValue,
        forward: &Forward,
    ) -> AttemptEnd {
        let lost = RecallInput::ConnectionLost(forward.call);
        let recall = self.recall_after(lost, shard, id, forward);
        match self.shared.with_deadline(forward.deadline, recall).await {
            Some(RecallResult::Ended(end)) => end,
            Some(RecallResult::Declined | RecallResult::Continue) | None => {
                AttemptEnd::ConnectionLost
            }
        }
    }

    async fn recall_after(
        &self,
        input: RecallInput,
        shard: usize,
        id: &HeaderValue,
        forward: &Forward,
    ) -> RecallResult {
        let call = forward.call;
        let mut action = self.decide_recall(shard, input);
        if action.is_none() {
            return RecallResult::Declined;
        }
        let first_asked_at = self.shared.clock.now();
        let mut connection_lost_data = false;
        loop {
            action = match action {
                None => return RecallResult::Continue,
                Some(RecallAction::Ask { attempt, sent_at }) => {
                    let reply = self.ask(shard, id, forward, sent_at).await;
                    self.record_reply(id, forward, reply);
                    let never_arrived = RecallAnswer::NotStarted { arrived: false };
                    connection_lost_data = reply.is_some_and(|reply| reply.answer == never_arrived);
                    self.decide_recall(shard, RecallInput::Answered { call, attempt, reply })
                }
                Some(RecallAction::AwaitResponse(wait)) => {
                    self.shared.clock.sleep(wait).await;
                    connection_lost_data = true;
                    let attempt = forward.attempt;
                    self.decide_recall(shard, RecallInput::ResponseOverdue { call, attempt })
                }
                Some(RecallAction::End(end)) => {
                    if connection_lost_data {
                        self.close_idle(forward, first_asked_at);
                    }
                    return RecallResult::Ended(end);
                }
            };
        }
    }

    fn decide_recall(&self, shard: usize, input: RecallInput) -> Option<RecallAction> {
        let now = self.shared.clock.now();
        self.shards[shard].entry.lock().handle_recall(now, input)
    }

    /// Sends the question over a new connection: an idle one may be unresponsive as well.
    async fn ask(
        &self,
        shard: usize,
        id: &HeaderValue,
        forward: &Forward,
        sent_at: Time,
    ) -> Option<RecallReply> {
        let deadline = self.shared.clock.now() + RECALL_TIMEOUT;
        let exchange = async {
            let connection = self.shards[shard].pool.connect(forward.gatekeeper).await.ok()?;
            let age = self.shared.clock.now().since(sent_at);
            let req = question(id, forward.attempt, age)?;
            let (response, connection) =
                connection.send(req, &AtomicBool::new(false)).await.ok()?;
            if response.body().is_end_stream() {
                connection.release();
            }
            let same_request = response.headers().get(headers::REQUEST_ID) == Some(id);
            if response.status() != StatusCode::OK || !same_request {
                return None;
            }
            let answer = headers::recall_answer(response.headers())?;
            Some(RecallReply { answer, load: headers::load(response.headers()) })
        };
        self.shared.with_deadline(deadline, exchange).await.flatten()
    }

    fn record_reply(&self, id: &HeaderValue, forward: &Forward, reply: Option<RecallReply>) {
        let answer = reply.map_or(NO_ANSWER, |reply| reply.answer.label());
        self.shared.metrics.recalls.with_label_values(&[answer]).inc();
        let fields = Fields {
            attempt: Some(forward.attempt),
            target: Some(forward.vm.as_str()),
            recall: Some(answer),
            load: reply.and_then(|reply| reply.load).map(|load| load.to_string()),
            ..Fields::default()
        };
        trace::log_step(&self.shared, id, Step::Recalled, fields);
    }

    /// Closes the connections to a gatekeeper that may be as unresponsive as the one that has lost a
    /// request or a response.
    fn close_idle(&self, forward: &Forward, asked_at: Time) {
        for shard in &self.shards {
            shard.pool.close_idle(forward.gatekeeper, asked_at);
        }
    }
}

fn question(id: &HeaderValue, attempt: u32, age: Duration) -> Option<Request<Body>> {
    let request = Request::post(RECALL_PATH)
        .header(HOST, HeaderValue::from_static("sycamore"))
        .header(headers::RECALL, HeaderValue::from_static(headers::RECALL_ASK))
        .header(headers::REQUEST_ID, id.clone())
        .header(headers::ATTEMPT, HeaderValue::from(attempt))
        .header(headers::ATTEMPT_AGE, HeaderValue::from(age.as_millis() as u64));
    request.body(Body::empty()).ok()
}
