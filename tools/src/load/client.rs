//! HTTP connections to one address, kept and used again.

use async_executor::LocalExecutor;
use async_io::Async;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use smol_hyper::rt::FuturesIo;
use std::cell::RefCell;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

/// Requests that the client sends: their bodies are small and held in memory.
pub type Outgoing = Request<Full<Bytes>>;

/// Why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendError {
    /// No connection, or it closed before a byte of the request was written.
    NotSent,
    /// The connection broke after the request may have been written.
    Broken,
}

/// Connections to one address. They are opened as needed and kept while idle.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    executor: Rc<LocalExecutor<'static>>,
    idle: RefCell<Vec<SendRequest<Full<Bytes>>>>,
}

/// An answer whose body is still to be read, and the connection that it comes on.
#[derive(Debug)]
pub struct Exchange {
    /// The answer.
    pub response: Response<Incoming>,
    connection: SendRequest<Full<Bytes>>,
}

impl Pool {
    /// No connection yet; `executor` carries those to come.
    pub fn new(address: SocketAddr, executor: Rc<LocalExecutor<'static>>) -> Pool {
        Pool { address, executor, idle: RefCell::new(Vec::new()) }
    }

    /// The address that the connections go to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// A kept connection that the other side has closed hands the request back unsent; it then
    /// goes out on a fresh one.
    pub async fn send(&self, req: Outgoing) -> Result<Exchange, SendError> {
        let mut req = req;
        while let Some(connection) = self.take_idle() {
            match exchange(connection, req).await {
                Ok(exchange) => return Ok(exchange),
                Err(Some(unsent)) => req = unsent,
                Err(None) => return Err(SendError::Broken),
            }
        }
        let connection = self.connect().await?;
        exchange(connection, req).await.map_err(|unsent| match unsent {
            Some(_) => SendError::NotSent,
            None => SendError::Broken,
        })
    }

    /// Keeps the connection of an answer whose body has been read to its end.
    pub fn keep(&self, connection: SendRequest<Full<Bytes>>) {
        if !connection.is_closed() {
            self.idle.borrow_mut().push(connection);
        }
    }

    fn take_idle(&self) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|connection| !connection.is_closed());
        idle.pop()
    }

    async fn connect(&self) -> Result<SendRequest<Full<Bytes>>, SendError> {
        let stream = Async::<TcpStream>::connect(self.address).await;
        let stream = stream.map_err(|_| SendError::NotSent)?;
        // Small requests would otherwise wait for the acknowledgement of earlier ones.
        let _ = stream.get_ref().set_nodelay(true);
        let handshake = http1::handshake(FuturesIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| SendError::NotSent)?;
        let drive = async move {
            // A broken connection shows at the request that is on it.
            let _ = connection.await;
        };
        self.executor.spawn(drive).detach();
        Ok(sender)
    }
}

impl Exchange {
    /// Splits the answer from its connection.
    pub fn into_parts(self) -> (Response<Incoming>, SendRequest<Full<Bytes>>) {
        (self.response, self.connection)
    }
}

/// Sends on one connection. A failure holds the request if none of it was written.
async fn exchange(
    mut connection: SendRequest<Full<Bytes>>,
    req: Outgoing,
) -> Result<Exchange, Option<Outgoing>> {
    if connection.ready().await.is_err() {
        return Err(Some(req));
    }
    match connection.try_send_request(req).await {
        Ok(response) => Ok(Exchange { response, connection }),
        Err(mut e) => Err(e.take_message()),
    }
}
