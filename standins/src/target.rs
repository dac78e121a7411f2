//! Stand-in for targets: several in one process, each on its own address, with the slots, the
//! connections and the habits of the users' targets.

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

/// What a new connection costs a target before it answers on it.
const ACCEPT_DELAY: Duration = Duration::from_millis(1);

/// How long a crashed target stays away.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// The targets of one process, as read from a file.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetsConfig {
    /// Address of the control port.
    pub control: SocketAddr,
    /// The targets.
    pub targets: Vec<TargetConfig>,
}

/// One target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetConfig {
    /// VM that it runs on.
    pub vm: String,
    /// Address on which it takes requests from its node.
    pub address: SocketAddr,
    /// Address of its node for calls of its own.
    pub calls: SocketAddr,
    /// Requests that it runs at once; more get 503.
    pub slots: u32,
    /// Connections that it takes.
    pub connections: u32,
}

/// Targets with their sockets bound.
#[derive(Debug)]
pub struct Targets {
    control: Async<TcpListener>,
    targets: Vec<(Async<TcpListener>, TargetConfig)>,
    log: RunLog,
}

/// One target as it runs.
#[derive(Debug)]
struct Target {
    cfg: TargetConfig,
    state: RefCell<State>,
    log: RunLog,
    caller: nested::Caller,
}

impl Targets {
    /// Reads the targets of one process from a JSON file.
    pub fn read(path: &Path) -> std::io::Result<TargetsConfig> {
        Ok(serde_json::from_slice(&std::fs::read(path)?)?)
    }

    /// Binds the sockets; runs are written to `log`.
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

    /// Runs targets in a thread of its own until the process ends; for tests. Returns the address
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

    /// Serves until it is dropped.
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

/// Takes connections; starts again after each crash.
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
            // Dropping the listener makes new connections fail, as on a crashed process.
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
    if req.uri().path() == "/health" {
        return Some(http::response(StatusCode::OK, ""));
    }
    let call = Call::new(&req);
    // A request whose body is cut is not run.
    req.into_body().collect().await.ok()?;
    if !target.state.borrow_mut().take_slot(target.cfg.slots) {
        return Some(http::response(StatusCode::SERVICE_UNAVAILABLE, "no slot is free"));
    }
    let run = run_log::Run::start(target.clone(), &call);
    let response = execute(&target, &call, run).await?;
    Some(response)
}

/// Runs one request: its own calls first, then its work, then the answer.
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
