//! Baseline proxy: round robin with three retries, without admission control. It ignores
//! idempotency keys, load, deadlines and zones.

use async_executor::LocalExecutor;
use async_io::Async;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use smol_hyper::rt::FuturesIo;
use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use sycamore_tools::load::client::Pool;

const RETRIES: usize = 3;

type ProxyResponse = Response<Full<Bytes>>;

/// A naive proxy.
#[derive(Debug)]
pub struct NaiveProxy {
    targets: Vec<Pool>,
    next: Cell<usize>,
}

/// Serves requests on `listen` until the process exits.
pub fn run(listen: SocketAddr, targets: &[SocketAddr]) -> io::Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    let listener = Async::<TcpListener>::bind(listen)?;
    let targets = targets.iter().map(|at| Pool::new(*at, executor.clone())).collect();
    let proxy = Rc::new(NaiveProxy { targets, next: Cell::new(0) });
    async_io::block_on(executor.run(async {
        loop {
            let (stream, _) = listener.accept().await?;
            executor.spawn(proxy.clone().serve(stream)).detach();
        }
    }))
}

impl NaiveProxy {
    async fn serve(self: Rc<NaiveProxy>, stream: Async<TcpStream>) {
        let _ = stream.get_ref().set_nodelay(true);
        let service = hyper::service::service_fn(move |req| {
            let proxy = self.clone();
            async move { Ok::<_, Infallible>(proxy.forward(req).await) }
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .serve_connection(FuturesIo::new(stream), service);
        let _ = connection.await;
    }

    async fn forward(&self, req: Request<Incoming>) -> ProxyResponse {
        let (head, body) = req.into_parts();
        let Ok(body) = body.collect().await else { return unavailable() };
        let body = body.to_bytes();
        for _ in 0..=RETRIES {
            let req = Request::from_parts(head.clone(), Full::new(body.clone()));
            let index = self.next.get();
            self.next.set((index + 1) % self.targets.len());
            let pool = &self.targets[index];
            if let Some(response) = attempt(pool, req).await {
                return response;
            }
        }
        unavailable()
    }
}

/// Sends one attempt. Returns `None` on a connection error or a 5xx response.
async fn attempt(pool: &Pool, req: Request<Full<Bytes>>) -> Option<ProxyResponse> {
    let exchange = pool.send(req).await.ok()?;
    let (head, body) = exchange.response.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    pool.release(exchange.connection);
    let failed = head.status.is_server_error();
    (!failed).then(|| Response::from_parts(head, Full::new(body)))
}

fn unavailable() -> ProxyResponse {
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response
}
