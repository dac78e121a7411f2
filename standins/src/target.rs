//! Stand-in for targets: simulates several targets in one process, each on its own address, with
//! limited slots and connections and configurable behaviour.

mod answer;
mod control;
mod load;
mod nested;
mod request;
pub mod run_log;

pub use control::{Behaviour, Counts};

use crate::http::{self, Body, ShutdownSignal};
use answer::ResponseBody;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use control::State;
use futures_lite::future;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use request::Call;
use run_log::RunLog;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Delay before a target serves a new connection.
const ACCEPT_DELAY: Duration = Duration::from_millis(1);

/// Downtime after a crash, unless the crash request sets another.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Configuration of the targets of one process.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetsConfig {
    /// Address of the control port.
    pub control: SocketAddr,
    pub targets: Vec<TargetConfig>,
}

/// Configuration of one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetConfig {
    /// VM that the target runs on.
    pub vm: String,
    /// Address on which it serves its node.
    pub address: SocketAddr,
    /// Address of its node for nested calls.
    pub calls: SocketAddr,
    /// Concurrent requests; further requests get status 503.
    pub slots: u32,
    /// Concurrent connections; further connections are closed.
    pub connections: u32,
}

/// Targets whose sockets are bound.
#[derive(Debug)]
pub struct Targets {
    control: Async<TcpListener>,
    targets: Vec<(Async<TcpListener>, TargetConfig)>,
    log: RunLog,
}

/// A running target.
#[derive(Debug)]
struct Target {
    cfg: TargetConfig,
    state: RefCell<State>,
    log: RunLog,
    caller: nested::Caller,
}

impl Targets {
    /// Reads the configuration from a JSON file.
    pub fn read(path: &Path) -> std::io::Result<TargetsConfig> {
        Ok(serde_json::from_slice(&std::fs::read(path)?)?)
    }

    /// Binds the sockets. Runs are recorded in `log`.
    pub fn bind(cfg: TargetsConfig, log: RunLog) -> std::io::Result<Targets> {
        let control = Async::<TcpListener>::bind(cfg.control)?;
        let bind = |mut target: TargetConfig| {
            let listener = Async::<TcpListener>::bind(target.address)?;
            target.address = listener.get_ref().local_addr()?;
            Ok((listener, target))
        };
        let targets: std::io::Result<Vec<_>> = cfg.targets.into_iter().map(bind).collect();
        Ok(Targets { control, targets: targets?, log })
    }

    /// Starts targets in a background thread that runs until the process exits. Returns the address
    /// of the control port and of each target.
    pub fn spawn(
        cfg: TargetsConfig,
        log: RunLog,
    ) -> std::io::Result<(SocketAddr, Vec<SocketAddr>)> {
        let (tx, rx) = std::sync::mpsc::channel();
        std::thread::spawn(move || match Targets::bind(cfg, log) {
            Ok(targets) => {
                let _ = tx.send(targets.addresses());
                async_io::block_on(targets.run());
            }
            Err(e) => {
                let _ = tx.send(Err(e));
            }
        });
        rx.recv().map_err(std::io::Error::other)?
    }

    fn addresses(&self) -> std::io::Result<(SocketAddr, Vec<SocketAddr>)> {
        let control = self.control.get_ref().local_addr()?;
        Ok((control, self.targets.iter().map(|(_, cfg)| cfg.address).collect()))
    }

    /// Serves requests until the future is dropped.
    pub async fn run(self) {
        let executor = http::executor();
        let mut targets = Vec::new();
        for (listener, cfg) in self.targets {
            let target = Rc::new(Target::new(cfg, self.log.clone(), &executor));
            executor.spawn(listen(executor.clone(), target.clone(), listener)).detach();
            targets.push(target);
        }
        let targets = Rc::new(targets);
        let no_shutdown = ShutdownSignal::new();
        let connections = executor.clone();
        let control = http::listen(self.control, move |stream, _| {
            let targets = targets.clone();
            let handle = move |req| control::handle(targets.clone(), req);
            connections.spawn(http::serve(stream, no_shutdown.subscribe(), handle)).detach();
        });
        executor.run(control).await;
    }
}

impl Target {
    fn new(cfg: TargetConfig, log: RunLog, executor: &Rc<LocalExecutor<'static>>) -> Target {
        let caller = nested::Caller::new(cfg.calls, executor.clone());
        Target { cfg, state: RefCell::new(State::default()), log, caller }
    }
}

/// Accepts connections, and restarts the target after each crash.
async fn listen(
    executor: Rc<LocalExecutor<'static>>,
    target: Rc<Target>,
    listener: Async<TcpListener>,
) {
    let mut listener = Some(listener);
    loop {
        let crashed = target.state.borrow().crashed();
        if let Some(listener) = listener.take() {
            let on_connection = |stream, _| spawn_connection(&executor, &target, stream);
            let crash = async {
                let _ = crashed.recv().await;
            };
            // Dropping the listener makes new connections fail, as after a process crash.
            future::or(http::listen(listener, on_connection), crash).await;
        }
        let downtime = target.state.borrow().downtime().unwrap_or(RESTART_DELAY);
        Timer::after(downtime).await;
        listener = Async::<TcpListener>::bind(target.cfg.address).ok();
        target.state.borrow_mut().restart();
    }
}

fn spawn_connection(
    executor: &Rc<LocalExecutor<'static>>,
    target: &Rc<Target>,
    stream: Async<TcpStream>,
) {
    let crashed = target.state.borrow().crashed();
    let target = target.clone();
    let task = async move {
        if !target.state.borrow_mut().open_connection(target.cfg.connections) {
            return;
        }
        let open_connection = control::ConnectionGuard(target.clone());
        Timer::after(ACCEPT_DELAY).await;
        let handled = target.clone();
        http::serve(stream, crashed, move |req| handle(handled.clone(), req)).await;
        drop(open_connection);
    };
    executor.spawn(task).detach();
}

async fn handle(target: Rc<Target>, req: Request<Incoming>) -> Option<Response<Body>> {
    let mut response = respond(&target, req).await?;
    target.state.borrow().behaviour().write_statements(response.headers_mut());
    Some(response)
}

async fn respond(target: &Rc<Target>, req: Request<Incoming>) -> Option<Response<Body>> {
    if req.uri().path() == "/health" {
        return Some(http::response(StatusCode::OK, ""));
    }
    let call = Call::new(&req);
    // A request with an incomplete body is not run.
    req.into_body().collect().await.ok()?;
    if !target.state.borrow_mut().take_slot(target.cfg.slots) {
        return Some(http::response(StatusCode::SERVICE_UNAVAILABLE, "no slot is free"));
    }
    let run = run_log::Run::start(target.clone(), &call);
    execute(target, &call, run).await
}

/// Runs a request: makes its nested call, simulates the work, then builds the response.
async fn execute(target: &Rc<Target>, call: &Call, run: run_log::Run) -> Option<Response<Body>> {
    if call.crash {
        target.state.borrow_mut().crash(RESTART_DELAY);
        return None;
    }
    let nested_call_succeeded = match call.nested_call() {
        Some(nested) => target.caller.call(nested, call.deadline).await,
        None => true,
    };
    let work = call.work.mul_f64(target.state.borrow_mut().work_factor(Instant::now()));
    if !work.is_zero() {
        Timer::after(work).await;
    }
    if !nested_call_succeeded {
        run.finish();
        return Some(http::response(StatusCode::FAILED_DEPENDENCY, "a call of its own failed"));
    }
    let load = target.state.borrow_mut().load(target.cfg.slots);
    let mut response =
        Response::new(Box::pin(ResponseBody::new(&call.id, call.answer_bytes, run)) as Body);
    if let Ok(load) = load.parse() {
        response.headers_mut().insert("x-load", load);
    }
    Some(response)
}
