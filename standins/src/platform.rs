//! Stand-in for the platform's configuration service: a read-only key-value store with blocking
//! queries. Values and faults are set through a separate control port.

mod control;
mod store;

pub use control::{Counts, Faults};
pub use store::Store;

use crate::http::{self, Body, ShutdownSignal};
use async_executor::LocalExecutor;
use async_io::Async;
use bytes::Bytes;
use control::State;
use futures_lite::future;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use std::cell::RefCell;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Upper bound on the wait time that a blocking query can request.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// A platform stand-in whose sockets are bound.
#[derive(Debug)]
pub struct Platform {
    readers: Vec<Async<TcpListener>>,
    control: Async<TcpListener>,
    state: Rc<RefCell<State>>,
}

/// Configuration of a platform stand-in.
#[derive(Clone, Debug)]
pub struct PlatformConfig {
    /// Addresses that serve reads. With one address per zone, a test can block a single zone.
    pub listen: Vec<SocketAddr>,
    /// Address of the control port.
    pub control: SocketAddr,
    /// Calls answered per second; further calls get status 429.
    pub max_calls_per_second: u64,
    /// Initial values.
    pub store: Store,
}

/// Bound addresses of a platform stand-in.
#[derive(Clone, Debug)]
pub struct Addresses {
    /// Addresses that serve reads.
    pub readers: Vec<SocketAddr>,
    /// Address of the control port.
    pub control: SocketAddr,
}

impl Platform {
    pub fn bind(cfg: PlatformConfig) -> std::io::Result<Platform> {
        let readers: Result<_, _> =
            cfg.listen.iter().map(|at| Async::<TcpListener>::bind(*at)).collect();
        let control = Async::<TcpListener>::bind(cfg.control)?;
        let state = State::new(cfg.store, cfg.max_calls_per_second);
        Ok(Platform { readers: readers?, control, state: Rc::new(RefCell::new(state)) })
    }

    /// Starts a stand-in in a background thread that runs until the process exits.
    pub fn spawn(cfg: PlatformConfig) -> std::io::Result<Addresses> {
        let (tx, rx) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            let platform = Platform::bind(cfg);
            let addresses = platform.as_ref().map(Platform::addresses);
            let _ = tx.send(addresses.map_err(|e| std::io::Error::new(e.kind(), e.to_string())));
            if let Ok(platform) = platform {
                async_io::block_on(platform.run());
            }
        });
        rx.recv().map_err(std::io::Error::other)?
    }

    pub fn addresses(&self) -> Addresses {
        let bound = |listener: &Async<TcpListener>| listener.get_ref().local_addr().ok();
        Addresses {
            readers: self.readers.iter().filter_map(bound).collect(),
            control: bound(&self.control).unwrap_or(SocketAddr::from(([0, 0, 0, 0], 0))),
        }
    }

    /// Serves requests until the future is dropped.
    pub async fn run(self) {
        let executor = http::executor();
        for listener in self.readers {
            let local_addr = listener.get_ref().local_addr();
            let task = listen(executor.clone(), self.state.clone(), listener, local_addr.ok());
            executor.spawn(task).detach();
        }
        let state = self.state.clone();
        let connections = executor.clone();
        let no_shutdown = ShutdownSignal::new();
        let control = http::listen(self.control, move |stream, _| {
            let state = state.clone();
            let handle = move |req| control::handle(state.clone(), req);
            connections.spawn(http::serve(stream, no_shutdown.subscribe(), handle)).detach();
        });
        executor.run(control).await;
    }
}

async fn listen(
    executor: Rc<LocalExecutor<'static>>,
    state: Rc<RefCell<State>>,
    listener: Async<TcpListener>,
    local_addr: Option<SocketAddr>,
) {
    http::listen(listener, move |stream, peer| {
        let Some(shutdown) = state.borrow_mut().admit([local_addr.unwrap_or(peer).ip(), peer.ip()])
        else {
            return;
        };
        executor.spawn(serve(state.clone(), stream, shutdown)).detach();
    })
    .await;
}

async fn serve(
    state: Rc<RefCell<State>>,
    stream: Async<TcpStream>,
    shutdown: async_channel::Receiver<()>,
) {
    http::serve(stream, shutdown, move |req| handle_read(state.clone(), req)).await;
}

/// Handles a read or a blocking query.
async fn handle_read(state: Rc<RefCell<State>>, req: Request<Incoming>) -> Option<Response<Body>> {
    if !state.borrow_mut().count_call() {
        return Some(http::response(StatusCode::TOO_MANY_REQUESTS, "too many calls"));
    }
    if state.borrow().faults.malformed {
        return Some(malformed_response());
    }
    let Some(key) = req.uri().path().strip_prefix("/v1/kv/").map(str::to_string) else {
        return Some(http::response(StatusCode::NOT_FOUND, ""));
    };
    let query = Query::parse(req.uri().query().unwrap_or_default());
    let deadline = Instant::now() + query.wait;
    loop {
        let (found, change_signal) = state.borrow_mut().look_up(&key);
        if state.borrow().faults.unresponsive {
            let _ = change_signal.recv().await;
            continue;
        }
        let index = found.as_ref().map_or(0, |value| value.index);
        let is_newer = query.index.is_none_or(|known| index > known);
        if is_newer || Instant::now() >= deadline {
            return Some(found.map_or_else(
                || http::response(StatusCode::NOT_FOUND, ""),
                |value| with_index(value.body, value.index),
            ));
        }
        let timeout = async {
            async_io::Timer::at(deadline).await;
        };
        let change = async {
            let _ = change_signal.recv().await;
        };
        future::or(change, timeout).await;
    }
}

/// Parameters of a read; `index` and `wait` make it a blocking query.
#[derive(Debug)]
struct Query {
    index: Option<u64>,
    wait: Duration,
}

impl Query {
    fn parse(text: &str) -> Query {
        let mut query = Query { index: None, wait: Duration::ZERO };
        for (name, value) in text.split('&').filter_map(|pair| pair.split_once('=')) {
            match name {
                "index" => query.index = value.parse().ok(),
                "wait" => query.wait = parse_wait(value),
                _ => {}
            }
        }
        query
    }
}

/// Parses a duration such as `30s` or `500ms`; a number without unit is in seconds.
fn parse_wait(text: &str) -> Duration {
    let wait = match (text.strip_suffix("ms"), text.strip_suffix('s')) {
        (Some(ms), _) => ms.parse().map(Duration::from_millis),
        (_, Some(s)) => s.parse().map(Duration::from_secs),
        _ => text.parse().map(Duration::from_secs),
    };
    wait.unwrap_or_default().min(MAX_WAIT)
}

fn with_index(body: Bytes, index: u64) -> Response<Body> {
    let mut response = http::response(StatusCode::OK, body);
    response.headers_mut().insert("x-index", index.into());
    response
}

/// A successful status with a body that is not a valid value.
fn malformed_response() -> Response<Body> {
    with_index(Bytes::from_static(b"\x00\xff{\"version\":"), u64::MAX)
}
