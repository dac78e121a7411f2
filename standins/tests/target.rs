//! Checks the slot limit and the run log of the target stand-in.

use async_executor::LocalExecutor;
use async_io::Timer;
use bytes::Bytes;
use futures_lite::future;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use sycamore_standins::target::run_log::{self, Line, RunEvent, RunLog};
use sycamore_standins::target::{TargetConfig, Targets, TargetsConfig};
use sycamore_tools::load::client::Pool;
use sycamore_tools::load::pattern::Pattern;

const LOOPBACK_ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

struct RunningTarget {
    address: SocketAddr,
    log: PathBuf,
}

fn start(test: &str, slots: u32) -> RunningTarget {
    let log = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{test}.jsonl"));
    let target = TargetConfig {
        vm: "vm-1".into(),
        address: LOOPBACK_ANY_PORT,
        calls: LOOPBACK_ANY_PORT,
        slots,
        connections: 8,
    };
    let cfg = TargetsConfig { control: LOOPBACK_ANY_PORT, targets: vec![target] };
    let (_, addresses) = Targets::spawn(cfg, RunLog::create(&log).unwrap()).unwrap();
    RunningTarget { address: addresses[0], log }
}

/// Sends one request on a new connection. Returns status and body if the response is complete.
async fn get(to: SocketAddr, id: &str, query: &str) -> Option<(u16, Bytes)> {
    let executor = Rc::new(LocalExecutor::new());
    let pool = Pool::new(to, executor.clone());
    let req = Request::get(format!("/contracts/1?{query}")).header("x-sycamore-request-id", id);
    let req = req.body(Full::new(Bytes::new())).unwrap();
    let exchange = executor.run(pool.send(req)).await.ok()?;
    let (response, _connection) = (exchange.response, exchange.connection);
    let status = response.status().as_u16();
    let body = executor.run(response.into_body().collect()).await.ok()?.to_bytes();
    Some((status, body))
}

/// Waits for the end of a run in the log and returns its events.
async fn events(log: &Path, id: &str) -> Vec<RunEvent> {
    loop {
        let lines = run_log::read(log).unwrap();
        let events: Vec<RunEvent> =
            lines.iter().filter(|line| line.id == id).map(|line: &Line| line.event).collect();
        if events.len() >= 2 {
            return events;
        }
        Timer::after(Duration::from_millis(5)).await;
    }
}

#[test]
fn answer_small_and_streamed() {
    let target = start("answer_small_and_streamed", 4);
    future::block_on(async {
        for (id, len) in [("small", 10), ("empty", 0), ("large", 300_000)] {
            let (status, body) = get(target.address, id, &format!("bytes={len}")).await.unwrap();
            assert_eq!((status, body.len()), (200, len));
            assert!(Pattern::new(id.as_bytes()).matches(&body));
            assert_eq!(events(&target.log, id).await, [RunEvent::Start, RunEvent::Completed]);
        }
    });
}

#[test]
fn answer_beyond_slots() {
    let target = start("answer_beyond_slots", 1);
    future::block_on(async {
        let first = get(target.address, "first", "work_us=300000");
        let second = async {
            while run_log::read(&target.log).unwrap().is_empty() {
                Timer::after(Duration::from_millis(5)).await;
            }
            get(target.address, "second", "").await
        };
        let (first, second) = future::zip(first, second).await;
        assert_eq!(first.map(|(status, _)| status), Some(200));
        assert_eq!(second.map(|(status, _)| status), Some(503));
    });
    assert!(run_log::read(&target.log).unwrap().iter().all(|line| line.id != "second"));
}

#[test]
fn crash_cuts_runs_and_restarts() {
    let target = start("crash_cuts_runs_and_restarts", 4);
    future::block_on(async {
        assert_eq!(get(target.address, "crashing", "crash=1").await, None);
        assert_eq!(events(&target.log, "crashing").await, [RunEvent::Start, RunEvent::Aborted]);
        while get(target.address, "after", "bytes=1").await.is_none() {
            Timer::after(Duration::from_millis(20)).await;
        }
    });
}
