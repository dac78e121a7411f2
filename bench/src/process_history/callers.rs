//! Callers that send requests one after another until they are stopped.

use async_executor::LocalExecutor;
use async_io::Timer;
use bytes::Bytes;
use futures_lite::future;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use sycamore_tools::load::caller::{Job, RetryPolicy, call_with_grace};
use sycamore_tools::load::client::{OutgoingRequest, Pool};
use sycamore_tools::load::history::{Outcome, Record};
use sycamore_tools::load::mix::{Mix, MixClass};

/// Number of concurrent callers.
const CALLERS: usize = 32;
/// Maximum pause of a caller between two requests.
const MAX_PAUSE: Duration = Duration::from_millis(600);
/// Time that a caller waits beyond its deadline, so that slow responses on a busy machine do not
/// count as lost.
const RESPONSE_GRACE: Duration = Duration::from_secs(20);
/// On average, one in this many requests repeats an earlier at-most-once request with its key, like
/// a client that has lost its state.
const RESEND_EVERY: u32 = 3;
/// Timeout of a repeated request.
const RESEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Highest resource number used in request paths.
const MAX_RESOURCE_NUMBER: u32 = 1_000;

/// Handle to the callers, which run in their own thread.
#[derive(Debug)]
pub struct Callers {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Vec<Record>>,
}

impl Callers {
    /// Starts the callers. All random choices derive from `seed`.
    pub fn start(mix: Mix, entries: Vec<SocketAddr>, seed: u64) -> Callers {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let thread = std::thread::spawn(move || run(&Rc::new(mix), &entries, seed, &stopped));
        Callers { stop, thread }
    }

    /// Lets each caller finish its current request and returns all records.
    pub fn stop(self) -> Vec<Record> {
        self.stop.store(true, Ordering::Release);
        self.thread.join().unwrap_or_default()
    }
}

fn run(mix: &Rc<Mix>, entries: &[SocketAddr], seed: u64, stop: &Arc<AtomicBool>) -> Vec<Record> {
    let executor = Rc::new(LocalExecutor::new());
    let pools: Vec<Pool> = entries.iter().map(|at| Pool::new(*at, executor.clone())).collect();
    let pools = Rc::new(pools);
    let records = Rc::new(RefCell::new(Vec::new()));
    let tasks: Vec<_> = (0..CALLERS)
        .map(|number| {
            let rng = Pcg64Mcg::seed_from_u64(seed.wrapping_mul(CALLERS as u64) + number as u64);
            let caller = run_caller(rng, mix.clone(), pools.clone(), records.clone(), stop.clone());
            executor.spawn(caller)
        })
        .collect();
    future::block_on(executor.run(async {
        for task in tasks {
            task.await;
        }
    }));
    records.take()
}

async fn run_caller(
    mut rng: Pcg64Mcg,
    mix: Rc<Mix>,
    entries: Rc<Vec<Pool>>,
    records: Rc<RefCell<Vec<Record>>>,
    stop: Arc<AtomicBool>,
) {
    let mut sent: Vec<SentRequest> = Vec::new();
    while !stop.load(Ordering::Acquire) {
        Timer::after(rng.random_range(Duration::ZERO..MAX_PAUSE)).await;
        let first_entry = rng.random_range(0..entries.len());
        if let Some(sent) = sent.choose(&mut rng) {
            if rng.random_range(0..RESEND_EVERY) == 0 {
                sent.resend(&entries[first_entry]).await;
                continue;
            }
        }
        let class = &mix.classes[mix.class_at(rng.random_range(0..mix.shares()))];
        let number = rng.random_range(1..=MAX_RESOURCE_NUMBER);
        let job = Job {
            class,
            resource_id: number,
            due: Instant::now(),
            first_entry,
            retry_policy: RetryPolicy::HonourRetryAfter,
        };
        let record = call_with_grace(&job, &entries, RESPONSE_GRACE).await;
        sent.extend(SentRequest::new(class, number, &record));
        records.borrow_mut().push(record);
    }
}

/// An at-most-once request as it was sent.
struct SentRequest {
    id: String,
    key: String,
    target: String,
    body: Bytes,
}

impl SentRequest {
    /// Returns `None` for requests reported as not run: repeating one could run it and contradict
    /// the report.
    fn new(class: &MixClass, number: u32, record: &Record) -> Option<SentRequest> {
        if record.outcome == Outcome::NotRun {
            return None;
        }
        let key = record.key.clone()?;
        let body = vec![b'.'; class.request_bytes].into();
        Some(SentRequest { id: record.id.clone(), key, target: class.path_and_query(number), body })
    }

    fn request(&self) -> Option<OutgoingRequest> {
        let req = Request::post(&self.target)
            .header("host", "sycamore")
            .header("x-sycamore-request-id", &self.id)
            .header("x-sycamore-deadline-ms", RESEND_TIMEOUT.as_millis().to_string())
            .header("idempotency-key", &self.key);
        req.body(Full::new(self.body.clone())).ok()
    }

    /// Sends the request again. The response is ignored, since targets log what they run.
    async fn resend(&self, entry: &Pool) {
        let Some(req) = self.request() else { return };
        let send = async {
            if let Ok(exchange) = entry.send(req).await {
                if exchange.response.into_body().collect().await.is_ok() {
                    entry.release(exchange.connection);
                }
            }
        };
        let timeout = async {
            Timer::after(RESEND_TIMEOUT).await;
        };
        future::or(send, timeout).await;
    }
}
