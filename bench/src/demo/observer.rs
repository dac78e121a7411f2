//! Polls the admin port of every node during a run.

use super::rules::Sample;
use crate::http;
use async_executor::LocalExecutor;
use async_io::Timer;
use bytes::Bytes;
use indexmap::IndexMap;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;
use sycamore_core::Time;
use sycamore_core::status::Status;
use sycamore_tools::load::client::Pool;
use sycamore_tools::load::history::now_us;

/// Pause between two polls of a node's status; the resolution of measured convergence times.
const STATUS_INTERVAL: Duration = Duration::from_millis(25);

/// Status polls per metrics poll.
const STATUS_POLLS_PER_METRICS_POLL: usize = 20;

/// Prefix of the control byte counters in the metrics.
const CONTROL_BYTES_PREFIX: &str = "sycamore_control_bytes_total{link=\"";

/// A node to poll.
#[derive(Clone, Debug)]
pub struct MonitoredNode {
    /// VM of the node.
    pub vm: String,
    /// Address of its admin port.
    pub admin: SocketAddr,
}

/// Data collected from all nodes.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Versions in force, in chronological order.
    pub samples: Vec<Sample>,
    /// Latest control byte counters by link class, per process (VM and start time).
    control_bytes: IndexMap<(String, Time), IndexMap<String, u64>>,
}

/// Background thread that polls nodes until it is stopped.
#[derive(Debug)]
pub struct Observer {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Observations>,
}

impl Observer {
    /// Starts polling.
    pub fn start(nodes: Vec<MonitoredNode>) -> Observer {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let thread = std::thread::spawn(move || poll_all(nodes, &stopped));
        Observer { stop, thread }
    }

    /// Stops the thread and returns the collected data.
    pub fn stop(self) -> Observations {
        self.stop.store(true, Ordering::Release);
        self.thread.join().unwrap_or_default()
    }
}

impl Observations {
    /// Control bytes sent by all processes, by link class.
    pub fn control_bytes(&self) -> IndexMap<String, u64> {
        let mut total = IndexMap::new();
        for (link, bytes) in self.control_bytes.values().flatten() {
            *total.entry(link.clone()).or_default() += bytes;
        }
        total.sort_unstable_keys();
        total
    }
}

fn poll_all(nodes: Vec<MonitoredNode>, stop: &Arc<AtomicBool>) -> Observations {
    let executor = Rc::new(LocalExecutor::new());
    let observations = Rc::new(RefCell::new(Observations::default()));
    let tasks: Vec<_> = nodes
        .into_iter()
        .map(|node| {
            let pool = Pool::new(node.admin, executor.clone());
            executor.spawn(poll_node(node.vm, pool, observations.clone(), stop.clone()))
        })
        .collect();
    async_io::block_on(executor.run(async {
        for task in tasks {
            task.await;
        }
    }));
    observations.take()
}

async fn poll_node(
    vm: String,
    pool: Pool,
    observations: Rc<RefCell<Observations>>,
    stop: Arc<AtomicBool>,
) {
    let mut started = None;
    let mut polls = 0;
    loop {
        let stopping = stop.load(Ordering::Acquire);
        if let Some(status) = status(&pool).await {
            started = Some(status.started);
            let version = status.in_force.map(|in_force| in_force.version);
            let sample = Sample { vm: vm.clone(), at_us: now_us(), version };
            observations.borrow_mut().samples.push(sample);
        }
        if let Some(started) =
            started.filter(|_| polls % STATUS_POLLS_PER_METRICS_POLL == 0 || stopping)
        {
            if let Some(bytes) = control_bytes(&pool).await {
                observations.borrow_mut().control_bytes.insert((vm.clone(), started), bytes);
            }
        }
        if stopping {
            return;
        }
        polls += 1;
        Timer::after(STATUS_INTERVAL).await;
    }
}

async fn status(pool: &Pool) -> Option<Status> {
    let body = http::send(pool, "GET", "/status", Bytes::new()).await.ok()?;
    serde_json::from_slice(&body).ok()
}

async fn control_bytes(pool: &Pool) -> Option<IndexMap<String, u64>> {
    let body = http::send(pool, "GET", "/metrics", Bytes::new()).await.ok()?;
    let text = std::str::from_utf8(&body).ok()?;
    let lines = text.lines().filter_map(|line| line.strip_prefix(CONTROL_BYTES_PREFIX));
    let counts = lines.filter_map(|line| {
        let (link, count) = line.split_once("\"} ")?;
        Some((link.to_string(), count.parse::<f64>().ok()? as u64))
    });
    Some(counts.collect())
}
