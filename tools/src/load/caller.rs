//! Executes one request, with retries after broken connections and refusals until its outcome is
//! final or its deadline has passed.

use super::client::{Connection, Exchange, OutgoingRequest, Pool, SendError};
use super::history::{Outcome, Record, Send, SendResult, now_us};
use super::mix::MixClass;
use super::pattern::Pattern;
use async_io::Timer;
use bytes::Bytes;
use futures_lite::future;
use http_body_util::{BodyExt, Full};
use hyper::Response;
use hyper::body::Incoming;
use std::time::{Duration, Instant};
use uuid::Uuid;

/// How long after its deadline a caller still accepts a response. A request without a response by
/// then counts as lost.
const GRACE_PERIOD: Duration = Duration::from_secs(1);

/// Delay before a retry after a broken connection, or if no entry node could be reached.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Delay before a retry with [`RetryPolicy::Immediate`].
const IMMEDIATE_RETRY_DELAY: Duration = Duration::from_millis(1);

/// When callers retry refused requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// After the delay that the refusal specifies.
    HonourRetryAfter,
    /// Immediately, regardless of the refusal, and also after server errors. Simulates a retry
    /// storm.
    Immediate,
}

/// A request to execute.
#[derive(Clone, Debug)]
pub struct Job<'a> {
    /// Class of the request.
    pub class: &'a MixClass,
    /// ID of the requested resource.
    pub resource_id: u32,
    /// Scheduled send time.
    pub due: Instant,
    /// Index of the entry node for the first attempt.
    pub first_entry: usize,
    pub retry_policy: RetryPolicy,
}

/// State of a request across its attempts.
struct Attempts<'a> {
    job: &'a Job<'a>,
    entries: &'a [Pool],
    deadline: Instant,
    record: Record,
}

/// What the caller does after an attempt.
enum NextStep {
    Final,
    Retry(Duration),
}

/// Executes a request and returns its record, no later than `GRACE_PERIOD` after its deadline.
pub async fn call(job: &Job<'_>, entries: &[Pool]) -> Record {
    call_with_grace(job, entries, GRACE_PERIOD).await
}

/// Executes a request, accepting a response until `grace_period` after its deadline.
pub async fn call_with_grace(job: &Job<'_>, entries: &[Pool], grace_period: Duration) -> Record {
    let mut attempts = Attempts::new(job, entries);
    let end = attempts.deadline + grace_period;
    attempts.run(end).await;
    attempts.record.final_us = now_us();
    attempts.record
}

impl<'a> Attempts<'a> {
    fn new(job: &'a Job<'a>, entries: &'a [Pool]) -> Attempts<'a> {
        let deadline = Duration::from_millis(job.class.deadline_ms);
        let delay_us = job.due.elapsed().as_micros() as u64;
        let invoked_us = now_us() - delay_us;
        let record = Record {
            id: Uuid::now_v7().to_string(),
            key: job.class.at_most_once.then(|| Uuid::now_v7().to_string()),
            class: job.class.name.clone(),
            invoked_us,
            deadline_us: invoked_us + deadline.as_micros() as u64,
            sends: Vec::new(),
            outcome: Outcome::None,
            code: None,
            status: None,
            bytes: 0,
            body_correct: false,
            final_us: 0,
        };
        Attempts { job, entries, deadline: job.due + deadline, record }
    }

    async fn run(&mut self, end: Instant) {
        for index in 0.. {
            let entry = (self.job.first_entry + index) % self.entries.len();
            let wait = match self.send(&self.entries[entry], end).await {
                NextStep::Final => break,
                NextStep::Retry(wait) => wait,
            };
            if Instant::now() + wait >= self.deadline {
                self.record.outcome = self.outcome_after_failures();
                return;
            }
            Timer::after(wait).await;
        }
        if self.record.outcome == Outcome::NotRun {
            self.record.outcome = self.outcome_after_failures();
        }
    }

    /// The outcome after the last attempt. A refusal only covers its own attempt, so the request
    /// is known not to have run only if no attempt may have reached a target.
    fn outcome_after_failures(&self) -> Outcome {
        let did_not_run =
            |send: &Send| matches!(send.result, SendResult::NotRun | SendResult::NotSent);
        let answered = |send: &Send| send.result == SendResult::Answered;
        if self.record.sends.iter().all(did_not_run) {
            Outcome::NotRun
        } else if self.record.sends.last().is_some_and(answered) {
            Outcome::Answered
        } else {
            Outcome::Unknown
        }
    }

    async fn send(&mut self, entry: &Pool, end: Instant) -> NextStep {
        let at_us = now_us();
        self.record.code = None;
        let Some(permit) = timeout_at(self.deadline, entry.permit()).await else {
            // The pool had no free permit before the deadline.
            self.record.outcome = Outcome::NotRun;
            return self.push(entry, at_us, SendResult::NotSent, NextStep::Final);
        };
        let req = self.request();
        let exchange = timeout_at(end, entry.send_with(permit, req));
        let (result, next) = match exchange.await {
            Some(Ok(exchange)) => self.handle_response(entry, exchange, end).await,
            Some(Err(SendError::NotSent)) => (SendResult::NotSent, self.fail_over()),
            Some(Err(SendError::Broken)) => retry(SendResult::Broken),
            None => (SendResult::TimedOut, NextStep::Final),
        };
        self.push(entry, at_us, result, next)
    }

    fn push(&mut self, entry: &Pool, at_us: u64, result: SendResult, next: NextStep) -> NextStep {
        let code = self.record.code;
        let send = Send { entry: entry.address(), at_us, end_us: now_us(), result, code };
        self.record.sends.push(send);
        next
    }

    /// Retries on the next entry node without delay until all entry nodes have been tried.
    fn fail_over(&self) -> NextStep {
        let tried_all = self.record.sends.len() + 1 >= self.entries.len();
        NextStep::Retry(if tried_all { DEFAULT_RETRY_AFTER } else { Duration::ZERO })
    }

    fn request(&self) -> OutgoingRequest {
        let class = self.job.class;
        let remaining_ms = self.deadline.saturating_duration_since(Instant::now()).as_millis();
        let method = if class.at_most_once { "POST" } else { "GET" };
        let mut req = hyper::Request::builder()
            .method(method)
            .uri(class.path_and_query(self.job.resource_id))
            .header("host", "sycamore")
            .header("x-sycamore-request-id", &self.record.id)
            .header("x-sycamore-deadline-ms", remaining_ms.max(1).to_string());
        if let Some(key) = &self.record.key {
            req = req.header("idempotency-key", key);
        }
        let body = Bytes::from(vec![b'.'; class.request_bytes]);
        req.body(Full::new(body)).expect("paths of the mix must be valid")
    }

    async fn handle_response(
        &mut self,
        entry: &Pool,
        exchange: Exchange,
        end: Instant,
    ) -> (SendResult, NextStep) {
        let Exchange { response, connection } = exchange;
        self.record.status = Some(response.status().as_u16());
        self.record.code = numeric_header(&response, "x-sycamore-code").map(|code| code as u16);
        match header(&response, "x-sycamore-outcome") {
            Some("not-run") => {
                let wait = numeric_header(&response, "x-sycamore-retry-after-ms");
                if response.into_body().collect().await.is_ok() {
                    entry.release(connection);
                }
                // A refusal without a retry delay is final: a retry would be refused again.
                self.record.outcome = Outcome::NotRun;
                let next = match (self.job.retry_policy, wait) {
                    (RetryPolicy::Immediate, _) => NextStep::Retry(IMMEDIATE_RETRY_DELAY),
                    (RetryPolicy::HonourRetryAfter, Some(ms)) => {
                        NextStep::Retry(Duration::from_millis(ms))
                    }
                    (RetryPolicy::HonourRetryAfter, None) => NextStep::Final,
                };
                (SendResult::NotRun, next)
            }
            Some("unknown") => {
                self.record.outcome = Outcome::Unknown;
                (SendResult::Unknown, NextStep::Final)
            }
            _ => {
                let read = timeout_at(end, self.read_body(entry, response, connection)).await;
                read.unwrap_or((SendResult::TimedOut, NextStep::Final))
            }
        }
    }

    /// Reads a response body and compares it with the expected body of this request.
    async fn read_body(
        &mut self,
        entry: &Pool,
        response: Response<Incoming>,
        connection: Connection,
    ) -> (SendResult, NextStep) {
        let success = response.status().is_success();
        let mut pattern = Pattern::new(self.record.id.as_bytes());
        let mut body = response.into_body();
        let mut bytes = 0;
        let mut correct = true;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { return retry(SendResult::BodyCut) };
            let Ok(data) = frame.into_data() else { continue };
            bytes += data.len();
            correct = correct && pattern.matches(&data);
        }
        entry.release(connection);
        self.record.bytes = bytes as u64;
        let complete = correct && bytes == self.job.class.answer_bytes;
        // The expected body of an error response is not known.
        self.record.body_correct = complete || !success;
        self.record.outcome = Outcome::Answered;
        let failed = self.record.status.is_some_and(|status| status >= 500);
        match self.job.retry_policy {
            RetryPolicy::Immediate if failed => {
                (SendResult::Answered, NextStep::Retry(IMMEDIATE_RETRY_DELAY))
            }
            _ => (SendResult::Answered, NextStep::Final),
        }
    }
}

/// Awaits a future until `end`. Returns `None` on timeout.
async fn timeout_at<T>(end: Instant, work: impl Future<Output = T>) -> Option<T> {
    let timeout = async {
        Timer::at(end).await;
        None
    };
    future::or(async { Some(work.await) }, timeout).await
}

fn retry(result: SendResult) -> (SendResult, NextStep) {
    (result, NextStep::Retry(DEFAULT_RETRY_AFTER))
}

fn header<'a, B>(response: &'a Response<B>, name: &str) -> Option<&'a str> {
    response.headers().get(name)?.to_str().ok()
}

fn numeric_header<B>(response: &Response<B>, name: &str) -> Option<u64> {
    header(response, name)?.parse().ok()
}
