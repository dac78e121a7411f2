//! The operators' port: metrics, status, events, readiness and the planned stop.

use crate::calls;
use crate::settings::Listen;
use crate::shared::Shared;
use async_io::Async;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::{Method, Request, Response, StatusCode};
use serde::Serialize;
use smol_hyper::rt::FuturesIo;
use std::convert::Infallible;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use sycamore_core::Result;
use sycamore_core::status::Events;

/// Longest life of an operator's connection: a client that connects and says nothing, or reads
/// nothing, would otherwise hold it for ever.
const CONNECTION_LIFE: Duration = Duration::from_secs(30);

/// Operators' connections served at once; more wait in the socket's backlog.
const MAX_CONNECTIONS: usize = 32;

/// The socket that operators connect to.
#[derive(Debug)]
pub struct Listener {
    admin: Async<TcpListener>,
}

impl Listener {
    /// Binds the socket.
    pub fn bind(listen: &Listen) -> Result<Listener> {
        Ok(Listener { admin: calls::bind(listen.admin)? })
    }
}

/// Serves operators until it is dropped.
pub async fn serve(shared: Arc<Shared>, listener: Listener) {
    let executor = Rc::new(async_executor::LocalExecutor::new());
    let (permit, permits) = async_channel::bounded::<()>(MAX_CONNECTIONS);
    let accept = async {
        loop {
            if permit.send(()).await.is_err() {
                return;
            }
            let Ok((stream, _)) = listener.admin.accept().await else {
                let _ = permits.recv().await;
                shared.clock.sleep(Duration::from_millis(100)).await;
                continue;
            };
            let shared = shared.clone();
            let permits = permits.clone();
            let task = async move {
                let life = shared.clock.clone();
                let serve = serve_connection(shared, stream);
                futures_lite::future::or(serve, life.sleep(CONNECTION_LIFE)).await;
                let _ = permits.recv().await;
            };
            executor.spawn(task).detach();
        }
    };
    executor.run(accept).await;
}

async fn serve_connection(shared: Arc<Shared>, stream: Async<TcpStream>) {
    let service = hyper::service::service_fn(move |req| {
        let answer = answer(&shared, &req);
        async move { Ok::<_, Infallible>(answer) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .serve_connection(FuturesIo::new(stream), service);
    // An operator who hangs up early concerns nobody else.
    let _ = connection.await;
}

fn answer(shared: &Shared, req: &Request<Incoming>) -> Response<Full<Bytes>> {
    match (req.method(), req.uri().path()) {
        (&Method::GET, "/metrics") => {
            response(StatusCode::OK, "text/plain; version=0.0.4", shared.metrics.to_text())
        }
        (&Method::GET, "/status") => json(StatusCode::OK, &shared.status()),
        (&Method::GET, "/events") => json(StatusCode::OK, &events(shared)),
        (&Method::GET, "/ready") => ready(shared),
        (&Method::POST, "/drain") => {
            shared.start_draining();
            json(StatusCode::ACCEPTED, &shared.status())
        }
        _ => response(StatusCode::NOT_FOUND, "text/plain", Vec::new()),
    }
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
