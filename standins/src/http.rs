//! A small HTTP server on one thread, whose connections can be cut all at once.

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

/// Body of an answer.
pub type Body = Pin<Box<dyn hyper::body::Body<Data = Bytes, Error = Infallible>>>;

/// A whole answer held in memory.
pub fn response(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Box::pin(Full::new(body.into())) as Body);
    *response.status_mut() = status;
    response
}

/// Ends the connections that wait on it once it is dropped.
#[derive(Debug)]
pub struct ShutdownSignal {
    _sender: Sender<()>,
    receiver: Receiver<()>,
}

impl ShutdownSignal {
    /// A cutter that no connection waits on.
    pub fn new() -> ShutdownSignal {
        let (sender, receiver) = async_channel::bounded(1);
        ShutdownSignal { _sender: sender, receiver }
    }

    /// What a connection waits on.
    pub fn subscribe(&self) -> Receiver<()> {
        self.receiver.clone()
    }
}

impl Default for ShutdownSignal {
    fn default() -> ShutdownSignal {
        ShutdownSignal::new()
    }
}

/// Serves one connection until its client closes it or it is cut.
pub async fn serve<H, F>(stream: Async<TcpStream>, shutdown: Receiver<()>, handle: H)
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Option<Response<Body>>>,
{
    let service = hyper::service::service_fn(move |req| {
        let response = handle(req);
        // No answer closes the connection.
        async move { response.await.ok_or_else(|| std::io::Error::other("no answer")) }
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

/// Listens on `address` and hands every connection to `take`, until it is dropped.
pub async fn listen(
    listener: Async<std::net::TcpListener>,
    mut on_connection: impl FnMut(Async<TcpStream>, SocketAddr),
) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                // Answers would otherwise wait for the acknowledgement of earlier ones.
                let _ = stream.get_ref().set_nodelay(true);
                on_connection(stream, peer);
            }
            // Out of file descriptors: wait for connections to close.
            Err(_) => {
                async_io::Timer::after(std::time::Duration::from_millis(10)).await;
            }
        }
    }
}

/// An executor that lives as long as its thread's work.
pub fn executor() -> Rc<LocalExecutor<'static>> {
    Rc::new(LocalExecutor::new())
}
