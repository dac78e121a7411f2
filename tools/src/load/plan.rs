//! Open-loop load at a constant rate: requests are sent on schedule regardless of earlier
//! responses, and latency is measured from the scheduled time.

use super::caller::{Job, RetryPolicy, call};
use super::client::Pool;
use super::history::History;
use super::mix::Mix;
use super::summary::Summary;
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::future;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Highest resource ID in requests.
const MAX_RESOURCE_ID: u32 = 10_000;

/// Requests started without yielding to responses when the run is behind schedule.
const MAX_BURST: usize = 32;

/// Parameters of a load run.
#[derive(Clone, Debug)]
pub struct Plan {
    pub mix: Mix,
    /// Addresses of the entry nodes.
    pub entries: Vec<SocketAddr>,
    /// Requests per second, summed over all threads.
    pub rate: f64,
    /// Duration for which requests are started.
    pub duration: Duration,
    /// Number of threads.
    pub threads: usize,
    /// Random seed for classes, resource IDs and entry nodes.
    pub seed: u64,
    pub retry_policy: RetryPolicy,
}

impl Plan {
    /// Runs the load to its end and returns the summary.
    pub fn run(&self, history: &Arc<History>) -> Summary {
        let start = Instant::now();
        let mut summary = Summary::new(&self.mix);
        std::thread::scope(|scope| {
            let threads: Vec<_> = (0..self.threads)
                .map(|thread| {
                    let history = history.clone();
                    scope.spawn(move || self.run_thread(thread, start, &history))
                })
                .collect();
            for thread in threads {
                if let Ok(thread_summary) = thread.join() {
                    summary.merge(&thread_summary);
                }
            }
        });
        summary
    }

    /// Executes the requests whose index is congruent to `thread` modulo the number of threads.
    fn run_thread(&self, thread: usize, start: Instant, history: &Arc<History>) -> Summary {
        let executor = Rc::new(LocalExecutor::new());
        let pools = self.entries.iter().map(|at| Pool::new(*at, executor.clone())).collect();
        let callers = Rc::new(Callers {
            plan: self.clone(),
            pools,
            history: history.clone(),
            summary: RefCell::new(Summary::new(&self.mix)),
        });
        let mut rng = StdRng::seed_from_u64(self.seed.wrapping_add(thread as u64));
        let total = (self.rate * self.duration.as_secs_f64()) as u64;
        async_io::block_on(executor.run(async {
            let mut tasks = Vec::new();
            for (count, index) in (thread as u64..total).step_by(self.threads).enumerate() {
                let due = start + Duration::from_secs_f64(index as f64 / self.rate);
                if due > Instant::now() {
                    Timer::at(due).await;
                } else if count % MAX_BURST == 0 {
                    future::yield_now().await;
                }
                let choice = RequestChoice::new(&mut rng, &self.mix, self.entries.len());
                tasks.push(executor.spawn(callers.clone().run_request(choice, due)));
                if tasks.len() >= 1_024 {
                    tasks.retain(|task| !task.is_finished());
                }
            }
            for task in tasks {
                task.await;
            }
        }));
        callers.summary.replace(Summary::new(&self.mix))
    }
}

/// Randomly chosen parameters of a request.
struct RequestChoice {
    class: usize,
    resource_id: u32,
    first_entry: usize,
}

impl RequestChoice {
    fn new(rng: &mut StdRng, mix: &Mix, entries: usize) -> RequestChoice {
        RequestChoice {
            class: mix.class_at(rng.random_range(0..mix.shares())),
            resource_id: rng.random_range(1..=MAX_RESOURCE_ID),
            first_entry: rng.random_range(0..entries),
        }
    }
}

/// State shared by the requests of one thread.
struct Callers {
    plan: Plan,
    pools: Vec<Pool>,
    history: Arc<History>,
    summary: RefCell<Summary>,
}

impl Callers {
    async fn run_request(self: Rc<Callers>, choice: RequestChoice, due: Instant) {
        let class = &self.plan.mix.classes[choice.class];
        let RequestChoice { resource_id, first_entry, .. } = choice;
        let job =
            Job { class, resource_id, due, first_entry, retry_policy: self.plan.retry_policy };
        let record = call(&job, &self.pools).await;
        self.history.push(&record);
        self.summary.borrow_mut().record_request(choice.class, &record);
    }
}
