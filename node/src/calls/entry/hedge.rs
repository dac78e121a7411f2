//! One round of a call: an attempt, and a hedged attempt if the first one is slow.

use super::attempt::{AttemptResult, classify_response, end_code, parse_response};
use super::{Call, EntryAdapter};
use crate::calls::body::Body;
use crate::calls::pool::SendError;
use crate::calls::trace::{self, Fields, Step};
use futures_lite::future;
use futures_util::future::{Either, select};
use hyper::Request;
use hyper::header::HeaderValue;
use std::pin::pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use sycamore_core::Code;
use sycamore_core::call::CallKey;
use sycamore_core::call::entry::{AttemptEnd, Forward, Input, Output};

/// Result of sending a request to a gatekeeper.
enum Sent {
    Ended(AttemptResult),
    /// No byte was sent; the body is unused.
    Unsent(Body),
}

impl Sent {
    /// Drops the unsent body, which is buffered elsewhere.
    fn into_attempt(self) -> AttemptResult {
        match self {
            Sent::Ended(attempt) => attempt,
            Sent::Unsent(_) => AttemptResult::Ended(AttemptEnd::NotSent),
        }
    }
}

impl EntryAdapter {
    /// Sends a request, and a hedge if no response arrives within the hedge delay. Sets `forward`
    /// to the attempt that produced the result.
    pub(super) async fn attempt(&self, call: &mut Call, forward: &mut Forward) -> AttemptResult {
        let Some(req) = self.begin_attempt(call, forward) else {
            return AttemptResult::Ended(AttemptEnd::ConnectionLost);
        };
        let Some(patience) = forward.hedge_delay_ms.filter(|_| call.body.is_buffered()) else {
            return match self.exchange(call.guard.shard, &call.id, forward, req).await {
                Sent::Ended(attempt) => attempt,
                Sent::Unsent(body) => {
                    call.body.restore(body);
                    AttemptResult::Ended(AttemptEnd::NotSent)
                }
            };
        };
        let first = forward.clone();
        let (key, shard, id) = (call.guard.call, call.guard.shard, call.id.clone());
        let mut sending = pin!(self.exchange(shard, &id, &first, req));
        let slow = async {
            self.shared.clock.sleep(Duration::from_millis(patience.into())).await;
            None
        };
        let quick = future::or(async { Some(sending.as_mut().await) }, slow).await;
        if let Some(sent) = quick {
            return sent.into_attempt();
        }
        let Some(Output::Forward(hedge)) = self.decide(shard, Input::HedgeDue(key)) else {
            return sending.await.into_attempt();
        };
        let Some(req) = self.begin_attempt(call, &hedge) else {
            return sending.await.into_attempt();
        };
        let race = Race { adapter: self, key, shard, id: &id, first: &first, hedge: &hedge };
        let other = pin!(self.exchange(shard, &id, &hedge, req));
        let (attempt, by) = match select(sending, other).await {
            Either::Left((sent, other)) => {
                let other = async { other.await.into_attempt() };
                race.settle(Attempted::First, sent.into_attempt(), other).await
            }
            Either::Right((sent, first)) => {
                let first = async { first.await.into_attempt() };
                race.settle(Attempted::Hedge, sent.into_attempt(), first).await
            }
        };
        if by == Attempted::Hedge {
            *forward = hedge.clone();
        }
        attempt
    }

    /// Records an attempt and builds its request. Returns `None` if the body is already consumed.
    fn begin_attempt(&self, call: &mut Call, forward: &Forward) -> Option<Request<Body>> {
        let fields = Fields::of_forward(&self.shared, forward);
        trace::log_step(&self.shared, &call.id, Step::Forwarded, fields);
        let kind = if forward.attempt > 1 { "retry" } else { "first" };
        self.shared.metrics.attempts.with_label_values(&[kind]).inc();
        self.request(call, forward)
    }

    async fn exchange(
        &self,
        shard: usize,
        id: &HeaderValue,
        forward: &Forward,
        req: Request<Body>,
    ) -> Sent {
        let sent = AtomicBool::new(false);
        let sending = self.shards[shard].pool.send(forward.gate, req, &sent);
        let attempt = match self.with_deadline(forward.deadline, sending).await {
            None => AttemptResult::DeadlinePassed { sent: sent.load(Ordering::Acquire) },
            Some(Err(SendError::Broken)) => AttemptResult::Ended(AttemptEnd::ConnectionLost),
            Some(Err(SendError::NotSent(req))) => return Sent::Unsent(req.into_body()),
            Some(Ok((response, connection))) => parse_response(id, response, connection),
        };
        Sent::Ended(attempt)
    }
}

/// An attempt and its hedge, one of which has completed.
struct Race<'a> {
    adapter: &'a EntryAdapter,
    key: CallKey,
    shard: usize,
    id: &'a HeaderValue,
    first: &'a Forward,
    hedge: &'a Forward,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Attempted {
    First,
    Hedge,
}

impl Attempted {
    fn other(self) -> Attempted {
        match self {
            Attempted::First => Attempted::Hedge,
            Attempted::Hedge => Attempted::First,
        }
    }
}

impl Race<'_> {
    /// Handles the completion of one of the two attempts. Returns the result for the caller and the
    /// attempt that produced it.
    async fn settle(
        &self,
        ended: Attempted,
        attempt: AttemptResult,
        other: impl Future<Output = AttemptResult>,
    ) -> (AttemptResult, Attempted) {
        match rank(&attempt) {
            Usable::Yes => {
                self.over(ended.other(), None);
                (attempt, ended)
            }
            Usable::LastResort => match other.await {
                better @ AttemptResult::Response(..) => {
                    self.over(ended, Some(end_of(attempt)));
                    (better, ended.other())
                }
                AttemptResult::Ended(end) => {
                    self.over(ended.other(), Some(end));
                    (attempt, ended)
                }
                AttemptResult::DeadlinePassed { .. } => {
                    self.over(ended.other(), None);
                    (attempt, ended)
                }
            },
            Usable::No => {
                self.over(ended, Some(end_of(attempt)));
                (other.await, ended.other())
            }
        }
    }

    /// Reports the end of one of the attempts; `None` means that it was cancelled.
    fn over(&self, which: Attempted, end: Option<AttemptEnd>) {
        let forward = match which {
            Attempted::First => self.first,
            Attempted::Hedge => self.hedge,
        };
        let noted = end.as_ref().map_or((Code::Overtaken, true), end_code);
        self.adapter.record_failed_attempt(self.id, forward, noted);
        let call = self.key;
        let input = match which {
            Attempted::First => {
                Input::PrimaryEnded { call, end: end.unwrap_or(AttemptEnd::LostToHedge) }
            }
            Attempted::Hedge => Input::HedgeEnded { call, end },
        };
        self.adapter.decide(self.shard, input);
    }
}

/// Whether an attempt's result is returned to the caller while the other attempt is in flight.
enum Usable {
    Yes,
    /// An error response of the target, used unless the other attempt succeeds.
    LastResort,
    No,
}

fn rank(attempt: &AttemptResult) -> Usable {
    match attempt {
        AttemptResult::Response(response, _) => match classify_response(response) {
            AttemptEnd::ErrorResponseStarted { .. } => Usable::LastResort,
            _ => Usable::Yes,
        },
        // Both attempts have the same deadline.
        AttemptResult::DeadlinePassed { .. } => Usable::Yes,
        AttemptResult::Ended(_) => Usable::No,
    }
}

fn end_of(attempt: AttemptResult) -> AttemptEnd {
    match attempt {
        AttemptResult::Response(response, _) => classify_response(&response),
        AttemptResult::Ended(end) => end,
        AttemptResult::DeadlinePassed { .. } => AttemptEnd::ConnectionLost,
    }
}
