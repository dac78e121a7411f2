//! HTTP connections to one address, kept and used again.

use async_channel::{Receiver, Sender};
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
pub type OutgoingRequest = Request<Full<Bytes>>;

/// Why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendError {
    /// No connection, or it closed before a byte of the request was written.
    NotSent,
    /// The connection broke after the request may have been written.
    Broken,
}

/// Exchanges on one pool at once; more wait.
const MAX_EXCHANGES: usize = 256;

/// Connections to one address. They are opened as needed and kept while idle.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    executor: Rc<LocalExecutor<'static>>,
    idle: RefCell<Vec<SendRequest<Full<Bytes>>>>,
    permit_tx: Sender<()>,
    permit_rx: Receiver<()>,
}

/// An answer whose body is still to be read, and the connection that it comes on.
#[derive(Debug)]
pub struct Exchange {
    /// The answer.
    pub response: Response<Incoming>,
    /// What it comes on.
    pub connection: Connection,
}

/// A connection in use, and the permit for it.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    _permit: Permit,
}

/// Lets one more exchange begin when it is dropped.
#[derive(Debug)]
pub struct Permit(Receiver<()>);

impl Drop for Permit {
    fn drop(&mut self) {
        let _ = self.0.try_recv();
    }
}

impl Pool {
    /// No connection yet; `executor` carries those to come.
    pub fn new(address: SocketAddr, executor: Rc<LocalExecutor<'static>>) -> Pool {
        let (permit_tx, permit_rx) = async_channel::bounded(MAX_EXCHANGES);
        Pool { address, executor, idle: RefCell::new(Vec::new()), permit_tx, permit_rx }
    }

    /// The address that the connections go to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until one more exchange may begin.
    pub async fn permit(&self) -> Permit {
        // Sending fails only on a closed channel, and the pool holds both of its ends.
        let _ = self.permit_tx.send(()).await;
        Permit(self.permit_rx.clone())
    }

    /// Sends a request and waits for the head of its answer.
    pub async fn send(&self, req: OutgoingRequest) -> Result<Exchange, SendError> {
        self.send_with(self.permit().await, req).await
    }

    /// The same with a permit that has been waited for.
    ///
    /// A kept connection that the other side has closed hands the request back unsent; it then
    /// goes out on a fresh one.
    pub async fn send_with(
        &self,
        permit: Permit,
        req: OutgoingRequest,
    ) -> Result<Exchange, SendError> {
        let mut req = req;
        while let Some(sender) = self.take_idle() {
            match exchange(sender, req).await {
                Ok((response, sender)) => return Ok(Exchange::new(response, sender, permit)),
                Err(Some(unsent)) => req = unsent,
                Err(None) => return Err(SendError::Broken),
            }
        }
        match exchange(self.connect().await?, req).await {
            Ok((response, sender)) => Ok(Exchange::new(response, sender, permit)),
            Err(Some(_)) => Err(SendError::NotSent),
            Err(None) => Err(SendError::Broken),
        }
    }

    /// Keeps the connection of an answer whose body has been read to its end.
    pub fn release(&self, connection: Connection) {
        if !connection.sender.is_closed() {
            self.idle.borrow_mut().push(connection.sender);
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
        let connection_task = async move {
            // A broken connection shows at the request that is on it.
            let _ = connection.await;
        };
        self.executor.spawn(connection_task).detach();
        Ok(sender)
    }
}

impl Exchange {
    fn new(
        response: Response<Incoming>,
        sender: SendRequest<Full<Bytes>>,
        permit: Permit,
    ) -> Exchange {
        Exchange { response, connection: Connection { sender, _permit: permit } }
    }
}

/// Sends on one connection. A failure holds the request if none of it was written.
async fn exchange(
    mut sender: SendRequest<Full<Bytes>>,
    req: OutgoingRequest,
) -> Result<(Response<Incoming>, SendRequest<Full<Bytes>>), Option<OutgoingRequest>> {
    if sender.ready().await.is_err() {
        return Err(Some(req));
    }
    match sender.try_send_request(req).await {
        Ok(response) => Ok((response, sender)),
        Err(mut e) => Err(e.take_message()),
    }
}
