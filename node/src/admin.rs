//! Admin HTTP server: metrics, status, events, readiness and graceful shutdown.

use crate::calls;
use crate::settings::Listen;
use crate::shared::Shared;
use async_io::Async;
use bytes::Bytes;
use futures_lite::future;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::{Method, Request, Response, StatusCode};
use serde::Serialize;
use smol_hyper::rt::{FuturesIo, SmolTimer};
use std::convert::Infallible;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use sycamore_core::Result;
use sycamore_core::status::Events;

/// Timeout for reading a request head. Frees the slot of a client that connects and sends nothing
/// before [`CONNECTION_LIFE`] has passed.
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum lifetime of a connection. Frees the slot of a client that never reads the response.
const CONNECTION_LIFE: Duration = Duration::from_secs(10);

/// Maximum size of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Maximum number of concurrent connections; further ones wait in the listen backlog.
const MAX_CONNECTIONS: usize = 32;

/// Sockets of the admin server and of the optional readiness endpoint.
#[derive(Debug)]
pub struct Listener {
    admin: Async<TcpListener>,
    ready: Option<Async<TcpListener>>,
}

impl Listener {
    /// Binds the sockets.
    pub fn bind(listen: &Listen) -> Result<Listener> {
        let ready = listen.ready.map(calls::bind).transpose()?;
        Ok(Listener { admin: calls::bind(listen.admin)?, ready })
    }

    async fn accept(&self) -> std::io::Result<Async<TcpStream>> {
        let admin = async { self.admin.accept().await.map(|(stream, _)| stream) };
        let ready = async {
            match &self.ready {
                Some(ready) => ready.accept().await.map(|(stream, _)| stream),
                None => future::pending().await,
            }
        };
        future::or(admin, ready).await
    }
}

/// Serves requests until the future is dropped.
pub async fn serve(shared: Arc<Shared>, listener: Listener) {
    let executor = Rc::new(async_executor::LocalExecutor::new());
    let (permit_tx, permit_rx) = async_channel::bounded::<()>(MAX_CONNECTIONS);
    let accept = async {
        loop {
            if permit_tx.send(()).await.is_err() {
                return;
            }
            let Ok(stream) = listener.accept().await else {
                let _ = permit_rx.recv().await;
                shared.clock.sleep(Duration::from_millis(100)).await;
                continue;
            };
            let shared = shared.clone();
            let permit_rx = permit_rx.clone();
            let task = async move {
                let clock = shared.clock.clone();
                let serve = serve_connection(shared, stream);
                futures_lite::future::or(serve, clock.sleep(CONNECTION_LIFE)).await;
                let _ = permit_rx.recv().await;
            };
            executor.spawn(task).detach();
        }
    };
    executor.run(accept).await;
}

async fn serve_connection(shared: Arc<Shared>, stream: Async<TcpStream>) {
    let service = hyper::service::service_fn(move |req| {
        let respond = respond(&shared, &req);
        async move { Ok::<_, Infallible>(respond) }
    });
    // Keep-alive is off, so that idle clients do not occupy connection slots.
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .keep_alive(false)
        .serve_connection(FuturesIo::new(stream), service);
    // A client that disconnects early does not affect other connections.
    let _ = connection.await;
}

fn respond(shared: &Shared, req: &Request<Incoming>) -> Response<Full<Bytes>> {
    let (method, path) = (req.method(), req.uri().path());
    match (method, path) {
        (&Method::GET, "/metrics") => metrics(shared),
        (&Method::GET, "/status") => json(StatusCode::OK, &shared.status()),
        (&Method::GET, "/events") => json(StatusCode::OK, &events(shared)),
        (&Method::GET, "/ready") => ready(shared),
        (&Method::POST, "/drain") => {
            shared.start_draining();
            json(StatusCode::ACCEPTED, &shared.status())
        }
        _ if SUPPORTED_REQUESTS.iter().any(|request| request.ends_with(path)) => {
            error_response(StatusCode::METHOD_NOT_ALLOWED)
        }
        _ => error_response(StatusCode::NOT_FOUND),
    }
}

/// Supported requests.
const SUPPORTED_REQUESTS: [&str; 5] =
    ["GET /metrics", "GET /status", "GET /events", "GET /ready", "POST /drain"];

fn error_response(code: StatusCode) -> Response<Full<Bytes>> {
    let text = format!("{code}; supported requests: {}\n", SUPPORTED_REQUESTS.join(", "));
    response(code, "text/plain", text.into_bytes())
}

fn metrics(shared: &Shared) -> Response<Full<Bytes>> {
    shared.metrics.update_gauges(&shared.status());
    response(StatusCode::OK, "text/plain; version=0.0.4", shared.metrics.to_text())
}

fn ready(shared: &Shared) -> Response<Full<Bytes>> {
    let status = shared.status();
    let code = if status.ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    json(code, &status)
}

fn events(shared: &Shared) -> Events {
    let (events, dropped) = shared.events();
    let settings = &shared.settings;
    Events {
        vm: settings.vm.clone(),
        region: settings.region.clone(),
        zone: settings.zone.clone(),
        now: shared.clock.now(),
        started: shared.started(),
        dropped,
        events,
    }
}

fn json<T: Serialize>(code: StatusCode, body: &T) -> Response<Full<Bytes>> {
    response(code, "application/json", serde_json::to_vec(body).unwrap_or_default())
}

fn response(code: StatusCode, content_type: &'static str, body: Vec<u8>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = code;
    let value = hyper::header::HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, value);
    response
}
