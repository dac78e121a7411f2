//! Recalls: asks the gatekeeper of a silent attempt whether it has started, and withdraws it if not.
//!
//! Load pattern: a request waits at a target that has become slow, or on a connection that has
//! become unresponsive, while another target is free. Also asks after a connection has broken, for
//! example because the gatekeeper closed it while the request was on its way.

use super::{ActiveAttempt, AttemptEnd, Call, Entry, RETRY_AFTER_SHORT};
use crate::call::balance::PickRequest;
use crate::call::budget::{Budget, RetryLimits, WHOLE_BUDGET_PERCENT};
use crate::call::policy::Mechanism;
use crate::call::recall::{RECALL_TIMEOUT, RecallAnswer, RecallReply};
use crate::call::{CallKey, Load};
use crate::config::{Class, Snapshot};
use crate::{Code, Name, Time};
use indexmap::IndexMap;
use std::time::Duration;

/// Mean deviations above the mean at which nearly all responses have arrived.
const DELAY_DEVIATIONS: u32 = 4;

/// Minimum of what is added to the mean, for targets whose response times hardly vary.
const MIN_DELAY_MARGIN: Duration = Duration::from_millis(10);

/// The newest response time contributes 1/n to the moving averages.
const RESPONSE_TIME_WEIGHT: u32 = 8;

/// Responses of a target after which its own response times are used instead of its service's.
const MIN_SAMPLES: u32 = 8;

/// Messages for one recall: one is repeated if it has no answer.
const MAX_MESSAGES: u32 = 2;

/// Recalls per window, in percent of the requests, and in addition for the whole node.
const BUDGET_PERCENT: u32 = 5;
const BUDGET_RESERVE: u32 = 10;

/// Minimum time that a response may take after the answer that the run is over. A VM with a tenth of
/// a core may not run for this long.
const MIN_RESPONSE_GRACE: Duration = Duration::from_millis(100);

data! {
    /// An input about a recall.
    pub enum RecallInput {
        /// No response started within the recall delay of the [`super::TargetEstimate`], or within twice
        /// the previous delay if nothing was asked then.
        Due(CallKey),
        /// The connection of the attempt broke before a response started.
        ConnectionLost(CallKey),
        /// The gatekeeper has answered, or `None` if it has not.
        Answered {
            call: CallKey,
            attempt: u32,
            reply: Option<RecallReply>,
        },
        /// No response started within the time of [`RecallAction::AwaitResponse`].
        ResponseOverdue {
            call: CallKey,
            attempt: u32,
        },
    }

    /// What the adapter does next about a recall. Without an action, the attempt continues.
    pub enum RecallAction {
        /// Ask the gatekeeper that the attempt was sent to, at the same address: another one would
        /// not know whether it runs.
        Ask {
            attempt: u32,
            /// When the attempt was sent.
            sent_at: Time,
        },
        /// Wait for a response that has been sent.
        AwaitResponse(Duration),
        /// Cancel the attempt and report that it ended in this way.
        End(AttemptEnd),
    }
}

/// A recall of an attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptRecall {
    messages: u32,
    asked_at: Time,
    ended: bool,
    // The connection of the attempt has broken, so that no response can arrive.
    is_broken: bool,
}

/// Response times of one target and class, without the wait for a slot.
#[derive(Clone, Copy, Debug, Default)]
struct ResponseTimes {
    mean: Duration,
    deviation: Duration,
    samples: u32,
}

/// What an entry node needs to decide on recalls.
#[derive(Debug)]
pub(super) struct Recalls {
    budget: Budget,
    // Shards of the node, which share the fixed part of the budget.
    shards: u32,
    response_times: IndexMap<Name, [ResponseTimes; 3]>,
}

impl ResponseTimes {
    fn record(&mut self, took: Duration) {
        self.samples = (self.samples + 1).min(RESPONSE_TIME_WEIGHT);
        let weight = self.samples;
        let difference = took.abs_diff(self.mean);
        if self.samples > 1 {
            self.deviation = (self.deviation * (weight - 1) + difference) / weight;
        }
        self.mean = (self.mean * (weight - 1) + took) / weight;
    }
}

impl Recalls {
    pub(super) fn new() -> Recalls {
        Recalls { budget: Budget::new(), shards: 1, response_times: IndexMap::new() }
    }

    pub(super) fn set_shards(&mut self, shards: u32) {
        self.shards = shards;
    }

    /// Drops targets that a new configuration version has removed.
    pub(super) fn configure(&mut self, snapshot: &Snapshot) {
        self.response_times.retain(|vm, _| snapshot.target_on(vm).is_some());
    }

    pub(super) fn record_request(&mut self, now: Time) {
        let reserve = Some(BUDGET_RESERVE);
        let limits = RetryLimits { percent: BUDGET_PERCENT, reserve, nodes: self.shards };
        self.budget.record_first_attempt(now, limits);
    }

    pub(super) fn record_response(&mut self, vm: &Name, class: Class, took: Duration) {
        self.response_times.entry(vm.clone()).or_default()[class as usize].record(took);
    }

    /// The time by which nearly all responses of a target arrive; `None` while too few were
    /// measured.
    fn slowest_expected(&self, vm: &Name, class: Class) -> Option<Duration> {
        let times = self.response_times.get(vm)?[class as usize];
        let margin = (times.deviation * DELAY_DEVIATIONS).max(MIN_DELAY_MARGIN);
        (times.samples >= MIN_SAMPLES).then_some(times.mean + margin)
    }
}

impl Entry {
    /// Handles an input about a recall.
    pub fn handle_recall(&mut self, now: Time, input: RecallInput) -> Option<RecallAction> {
        match input {
            RecallInput::Due(call) => self.recall(now, call),
            RecallInput::ConnectionLost(call) => self.recall_lost(now, call),
            RecallInput::Answered { call, attempt, reply } => {
                self.recall_answered(now, call, attempt, reply)
            }
            RecallInput::ResponseOverdue { call, attempt } => {
                let recall = self.recalled_attempt(call, attempt)?.recall?;
                recall.ended.then_some(RecallAction::End(AttemptEnd::ConnectionLost))
            }
        }
    }

    /// Time without a response after which an attempt may be recalled: what nearly all responses of
    /// the target take, and the wait that its gatekeeper reported.
    ///
    /// Requests with a key are bound to their home, so they are not recalled.
    pub(super) fn recall_delay(&self, now: Time, call: &Call, vm: &Name) -> Option<Duration> {
        if call.terms.is_keyed() || !self.policy.is_enabled(Mechanism::Recall) {
            return None;
        }
        let class = call.terms.class;
        let of_service = || self.balancer.hedge_delay(vm, class, Duration::MAX);
        let slowest = self.recalls.slowest_expected(vm, class).or_else(of_service)?;
        Some(slowest + self.balancer.reported_wait(now, vm, class))
    }

    fn recalled_attempt(&mut self, key: CallKey, attempt: u32) -> Option<&mut ActiveAttempt> {
        let call = self.calls.get_mut(&key)?;
        call.primary.as_mut().filter(|primary| primary.number == attempt)
    }

    /// Asks about an attempt if another target has room and the budget allows it. Otherwise the
    /// adapter asks again while the attempt remains without a response.
    fn recall(&mut self, now: Time, key: CallKey) -> Option<RecallAction> {
        let call = self.calls.get(&key)?;
        let primary = call.primary.as_ref()?;
        let late = self.answer_by(call).since(now) <= RECALL_TIMEOUT;
        let disabled = call.terms.is_keyed() || !self.policy.is_enabled(Mechanism::Recall);
        if disabled || late || call.hedge.is_some() || primary.recall.is_some() {
            return None;
        }
        let service = self.snapshot.as_ref()?.service_named(&call.service)?;
        let request = PickRequest::new(now, service, &call.terms)
            .with_tried(&call.tried)
            .with_regions(&call.terms.regions);
        let other = self.balancer.pick_available(request)?;
        self.balancer.has_room(now, &other).then(|| self.ask(now, key, false)).flatten()
    }

    /// Asks about an attempt whose connection broke: one that has not started can be sent elsewhere.
    /// Requests that may be repeated are sent elsewhere without a question.
    ///
    /// Asks once for each attempt, also if it was asked about before because it was slow: an answer
    /// under way is lost with its connection, and one that has been given may no longer hold.
    fn recall_lost(&mut self, now: Time, key: CallKey) -> Option<RecallAction> {
        let call = self.calls.get(&key)?;
        let late = self.answer_by(call).since(now) <= RECALL_TIMEOUT;
        let repeatable = call.terms.idempotent || call.terms.is_keyed();
        let disabled = repeatable || !self.policy.is_enabled(Mechanism::Recall);
        let is_settled = |recall: AttemptRecall| recall.ended || recall.is_broken;
        if disabled || late || call.primary.as_ref()?.recall.is_some_and(is_settled) {
            return None;
        }
        self.ask(now, key, true)
    }

    /// Asks about the attempt of a call if the budget allows it.
    fn ask(&mut self, now: Time, key: CallKey, is_broken: bool) -> Option<RecallAction> {
        if !self.recalls.budget.try_take(now, WHOLE_BUDGET_PERCENT) {
            return None;
        }
        let primary = self.calls.get_mut(&key)?.primary.as_mut()?;
        primary.recall =
            Some(AttemptRecall { messages: 1, asked_at: now, ended: false, is_broken });
        Some(RecallAction::Ask { attempt: primary.number, sent_at: primary.sent_at })
    }

    fn recall_answered(
        &mut self,
        now: Time,
        key: CallKey,
        attempt: u32,
        reply: Option<RecallReply>,
    ) -> Option<RecallAction> {
        let primary = self.recalled_attempt(key, attempt)?;
        let recall = primary.recall.as_mut()?;
        let round_trip = now.since(recall.asked_at);
        // The age in the question bounds the time at which the attempt was sent only for as long as
        // the question may take.
        let Some(reply) = reply.filter(|_| round_trip <= RECALL_TIMEOUT) else {
            if recall.messages >= MAX_MESSAGES {
                return None;
            }
            recall.messages += 1;
            recall.asked_at = now;
            return Some(RecallAction::Ask { attempt, sent_at: primary.sent_at });
        };
        recall.ended = reply.answer == RecallAnswer::Ended;
        let is_broken = recall.is_broken;
        let vm = primary.vm.clone();
        match reply.answer {
            RecallAnswer::NotStarted { .. } => Some(RecallAction::End(recalled(reply.load))),
            RecallAnswer::Running => {
                self.record_recall_load(now, &vm, reply.load);
                None
            }
            RecallAnswer::Ended => {
                self.record_recall_load(now, &vm, reply.load);
                Some(match is_broken {
                    true => RecallAction::End(AttemptEnd::ConnectionLost),
                    false => RecallAction::AwaitResponse(round_trip.max(MIN_RESPONSE_GRACE)),
                })
            }
        }
    }

    fn record_recall_load(&mut self, now: Time, vm: &Name, load: Option<Load>) {
        if let Some(load) = load {
            self.balancer.record_load(now, vm, load);
        }
    }
}

fn recalled(load: Option<Load>) -> AttemptEnd {
    let (code, retry_after) = (Code::Recalled, RETRY_AFTER_SHORT);
    AttemptEnd::Rejected { code, retry_after, load, crashes: 0 }
}
