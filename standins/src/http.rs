//! A minimal single-threaded HTTP server whose open connections can be closed together.

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Async;
use bytes::Bytes;
use futures_lite::future;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use smol_hyper::rt::FuturesIo;
use std::convert::Infallible;
use std::net::{SocketAddr, TcpStream};
use std::pin::Pin;
use std::rc::Rc;

/// Body of a response.
pub type Body = Pin<Box<dyn hyper::body::Body<Data = Bytes, Error = Infallible>>>;

/// Builds a response with an in-memory body.
pub fn response(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Box::pin(Full::new(body.into())) as Body);
    *response.status_mut() = status;
    response
}

/// Closes all subscribed connections when it is dropped.
#[derive(Debug)]
pub struct ShutdownSignal {
    _sender: Sender<()>,
    receiver: Receiver<()>,
}

impl ShutdownSignal {
    /// Creates a signal without subscribers.
    pub fn new() -> ShutdownSignal {
        let (sender, receiver) = async_channel::bounded(1);
        ShutdownSignal { _sender: sender, receiver }
    }

    /// Returns a receiver that is closed when the signal is dropped.
    pub fn subscribe(&self) -> Receiver<()> {
        self.receiver.clone()
    }
}

impl Default for ShutdownSignal {
    fn default() -> ShutdownSignal {
        ShutdownSignal::new()
    }
}

/// Serves one connection until the client closes it or `shutdown` is closed.
pub async fn serve<H, F>(stream: Async<TcpStream>, shutdown: Receiver<()>, handle: H)
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Option<Response<Body>>>,
{
    let service = hyper::service::service_fn(move |req| {
        let response = handle(req);
        // An error from the service makes hyper close the connection without a response.
        async move {
            response.await.ok_or_else(|| std::io::Error::other("handler returned no response"))
        }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .serve_connection(FuturesIo::new(stream), service);
    let serve = async {
        let _ = connection.await;
    };
    let shutdown = async {
        let _ = shutdown.recv().await;
    };
    future::or(serve, shutdown).await;
}

/// Accepts connections and passes each to `on_connection`, until the future is dropped.
pub async fn listen(
    listener: Async<std::net::TcpListener>,
    mut on_connection: impl FnMut(Async<TcpStream>, SocketAddr),
) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                // Nagle's algorithm would hold responses back until earlier ones are acknowledged.
                let _ = stream.get_ref().set_nodelay(true);
                on_connection(stream, peer);
            }
            // File descriptors may be exhausted; retry after other connections have closed.
            Err(_) => {
                async_io::Timer::after(std::time::Duration::from_millis(10)).await;
            }
        }
    }
}

/// Creates a single-threaded executor.
pub fn executor() -> Rc<LocalExecutor<'static>> {
    Rc::new(LocalExecutor::new())
}
