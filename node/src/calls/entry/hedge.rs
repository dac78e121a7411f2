//! One round of a call: an attempt, and a hedged attempt or a recall if the first one is slow.

use super::attempt::{AttemptResult, Failure, classify_response, parse_response};
use super::recall::RecallResult;
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
use sycamore_core::call::entry::{AttemptEnd, Forward, Input, Output};
use sycamore_core::call::{CallKey, Evidence};
use sycamore_core::{Code, Time};

/// Result of sending a request to a gatekeeper.
enum ExchangeResult {
    Ended(AttemptResult),
    /// No byte was sent; the body is unused.
    Unsent(Body),
}

impl ExchangeResult {
    /// Drops the unsent body, which is buffered elsewhere.
    fn into_attempt(self) -> AttemptResult {
        match self {
            ExchangeResult::Ended(attempt) => attempt,
            ExchangeResult::Unsent(_) => AttemptResult::Ended(AttemptEnd::NotSent),
        }
    }
}

impl EntryAdapter {
    /// Sends a request, and a hedge if no response arrives within the hedge delay. An attempt that
    /// cannot be hedged is recalled after the recall delay. Sets `forward` to the attempt that
    /// produced the result.
    pub(super) async fn attempt(&self, call: &mut Call, forward: &mut Forward) -> AttemptResult {
        let Some(req) = self.begin_attempt(call, forward) else {
            return AttemptResult::Ended(AttemptEnd::ConnectionLost);
        };
        let mut timers = Timers::new(self.shared.clock.now(), forward);
        let primary_sent = AtomicBool::new(false);
        if timers.next().is_none() || !call.body.is_buffered() {
            let (shard, id) = (call.guard.shard, &call.id);
            return match self.exchange(shard, id, forward, req, &primary_sent).await {
                ExchangeResult::Ended(attempt) => attempt,
                ExchangeResult::Unsent(body) => {
                    call.body.restore(body);
                    AttemptResult::Ended(AttemptEnd::NotSent)
                }
            };
        }
        let primary = forward.clone();
        let (key, shard, id) = (call.guard.call, call.guard.shard, call.id.clone());
        let mut primary_exchange = pin!(self.exchange(shard, &id, &primary, req, &primary_sent));
        let hedge = loop {
            let Some(next) = timers.next() else {
                return primary_exchange.await.into_attempt();
            };
            let timer = async {
                self.shared.clock.sleep_until(next).await;
                None
            };
            let early = future::or(async { Some(primary_exchange.as_mut().await) }, timer).await;
            if let Some(result) = early {
                return result.into_attempt();
            }
            let now = self.shared.clock.now();
            if timers.hedge.is_some_and(|timer| timer.at <= now)
                && let Some(Output::Forward(hedge)) = self.decide(shard, Input::HedgeDue(key))
            {
                break hedge;
            }
            timers.hedge = timers.hedge.map(|timer| timer.repeat_if_due(now));
            if timers.recall.is_none_or(|timer| timer.at > now) {
                continue;
            }
            let recall = async { Err(self.recall(shard, &id, &primary).await) };
            match future::or(async { Ok(primary_exchange.as_mut().await) }, recall).await {
                Ok(result) => return result.into_attempt(),
                Err(RecallResult::Ended(end)) => return AttemptResult::Ended(end),
                Err(RecallResult::Continue) => timers.recall = None,
                Err(RecallResult::Declined) => {
                    timers.recall = timers.recall.map(|timer| timer.repeat_if_due(now));
                }
            }
        };
        let Some(req) = self.begin_attempt(call, &hedge) else {
            return primary_exchange.await.into_attempt();
        };
        let hedge_sent = AtomicBool::new(false);
        let race = HedgeRace {
            adapter: self,
            key,
            shard,
            id: &id,
            primary: RacingAttempt { forward: &primary, sent: &primary_sent },
            hedge: RacingAttempt { forward: &hedge, sent: &hedge_sent },
        };
        let other = pin!(self.exchange(shard, &id, &hedge, req, &hedge_sent));
        let (attempt, winner) = match select(primary_exchange, other).await {
            Either::Left((result, other)) => {
                let other = async { other.await.into_attempt() };
                race.resolve(AttemptKind::Primary, result.into_attempt(), other).await
            }
            Either::Right((result, primary)) => {
                let primary = async { primary.await.into_attempt() };
                race.resolve(AttemptKind::Hedge, result.into_attempt(), primary).await
            }
        };
        if winner == AttemptKind::Hedge {
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

    /// Sends a request. `sent` is set while any byte of it may have been sent, and stays valid if
    /// this future is dropped.
    async fn exchange(
        &self,
        shard: usize,
        id: &HeaderValue,
        forward: &Forward,
        req: Request<Body>,
        sent: &AtomicBool,
    ) -> ExchangeResult {
        let exchange = self.shards[shard].pool.send(forward.gatekeeper, req, sent);
        let attempt = match self.shared.with_deadline(forward.deadline, exchange).await {
            None => AttemptResult::DeadlinePassed { sent: sent.load(Ordering::Acquire) },
            Some(Err(SendError::Broken { .. })) => AttemptResult::Ended(AttemptEnd::ConnectionLost),
            Some(Err(SendError::NotSent(req))) => return ExchangeResult::Unsent(req.into_body()),
            Some(Ok((response, connection))) => {
                self.record_statement(id, forward, &response, &connection);
                parse_response(id, response, connection)
            }
        };
        ExchangeResult::Ended(attempt)
    }
}

/// When the state machine is next asked about a slow attempt.
struct Timers {
    hedge: Option<Timer>,
    recall: Option<Timer>,
}

#[derive(Clone, Copy)]
struct Timer {
    at: Time,
    delay: Duration,
}

impl Timers {
    fn new(now: Time, forward: &Forward) -> Timers {
        let timer = |delay_ms: u32| {
            let delay = Duration::from_millis(delay_ms.into());
            Timer { at: now + delay, delay }
        };
        let hedge_delay = forward.hedge_delay_ms;
        // An attempt is recalled only if it could not be hedged.
        let recall_delay = forward.estimate.recall_delay_ms.max(hedge_delay);
        let recall_delay = recall_delay.filter(|_| forward.estimate.recall_delay_ms.is_some());
        Timers { hedge: hedge_delay.map(timer), recall: recall_delay.map(timer) }
    }

    fn next(&self) -> Option<Time> {
        self.hedge.iter().chain(&self.recall).map(|timer| timer.at).min()
    }
}

impl Timer {
    /// Doubles the delay of a timer that has fired.
    fn repeat_if_due(self, now: Time) -> Timer {
        match self.at <= now {
            true => Timer { at: now + self.delay * 2, delay: self.delay * 2 },
            false => self,
        }
    }
}

/// An attempt and its hedge, one of which has completed.
struct HedgeRace<'a> {
    adapter: &'a EntryAdapter,
    key: CallKey,
    shard: usize,
    id: &'a HeaderValue,
    primary: RacingAttempt<'a>,
    hedge: RacingAttempt<'a>,
}

/// One of two attempts, and whether any byte of it may have been sent.
#[derive(Clone, Copy)]
struct RacingAttempt<'a> {
    forward: &'a Forward,
    sent: &'a AtomicBool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptKind {
    Primary,
    Hedge,
}

impl AttemptKind {
    fn other(self) -> AttemptKind {
        match self {
            AttemptKind::Primary => AttemptKind::Hedge,
            AttemptKind::Hedge => AttemptKind::Primary,
        }
    }
}

impl HedgeRace<'_> {
    /// Handles the completion of one of the two attempts. Returns the result for the caller and the
    /// attempt that produced it.
    async fn resolve(
        &self,
        ended: AttemptKind,
        attempt: AttemptResult,
        other: impl Future<Output = AttemptResult>,
    ) -> (AttemptResult, AttemptKind) {
        let is_unsent = matches!(attempt, AttemptResult::DeadlinePassed { sent: false });
        match usability(&attempt) {
            // The target of the other attempt may have run the request.
            Usability::Final if is_unsent && self.is_sent(ended.other()) => {
                self.report_end(ended, None);
                (AttemptResult::DeadlinePassed { sent: true }, ended.other())
            }
            Usability::Final => {
                self.report_end(ended.other(), None);
                (attempt, ended)
            }
            Usability::Fallback => match other.await {
                better @ AttemptResult::Response(..) => {
                    self.report_end(ended, Some(into_end(attempt)));
                    (better, ended.other())
                }
                AttemptResult::Ended(end) => {
                    self.report_end(ended.other(), Some(end));
                    (attempt, ended)
                }
                AttemptResult::DeadlinePassed { .. } => {
                    self.report_end(ended.other(), None);
                    (attempt, ended)
                }
            },
            Usability::Unusable => {
                self.report_end(ended, Some(into_end(attempt)));
                (other.await, ended.other())
            }
        }
    }

    /// Reports the end of one of the attempts; `None` means that it was cancelled.
    fn report_end(&self, which: AttemptKind, end: Option<AttemptEnd>) {
        let forward = self.racing(which).forward;
        let unsent = (!self.is_sent(which)).then_some(Evidence::Unsent);
        let cancelled = || Failure::new(Code::Overtaken, unsent);
        let failure = end.as_ref().map_or_else(cancelled, Failure::of_end);
        self.adapter.record_failed_attempt(self.id, forward, failure);
        let call = self.key;
        let input = match which {
            AttemptKind::Primary => {
                Input::PrimaryEnded { call, end: end.unwrap_or(AttemptEnd::LostToHedge) }
            }
            AttemptKind::Hedge => Input::HedgeEnded { call, end },
        };
        self.adapter.decide(self.shard, input);
    }

    fn racing(&self, which: AttemptKind) -> RacingAttempt<'_> {
        match which {
            AttemptKind::Primary => self.primary,
            AttemptKind::Hedge => self.hedge,
        }
    }

    fn is_sent(&self, which: AttemptKind) -> bool {
        self.racing(which).sent.load(Ordering::Acquire)
    }
}

/// Whether an attempt's result is returned to the caller while the other attempt is in flight.
enum Usability {
    Final,
    /// An error response of the target, used unless the other attempt succeeds.
    Fallback,
    Unusable,
}

fn usability(attempt: &AttemptResult) -> Usability {
    match attempt {
        AttemptResult::Response(response, _) => match classify_response(response) {
            AttemptEnd::ErrorResponseStarted { .. } => Usability::Fallback,
            _ => Usability::Final,
        },
        // The other attempt has no more time: both end at the call's deadline, or earlier when the
        // node stops and has to answer its calls.
        AttemptResult::DeadlinePassed { .. } => Usability::Final,
        AttemptResult::Ended(_) => Usability::Unusable,
    }
}

fn into_end(attempt: AttemptResult) -> AttemptEnd {
    match attempt {
        AttemptResult::Response(response, _) => classify_response(&response),
        AttemptResult::Ended(end) => end,
        AttemptResult::DeadlinePassed { .. } => AttemptEnd::ConnectionLost,
    }
}
