//! HTTP connection pool for one address.

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
use sycamore_node::calls::response_head;

/// Request with an in-memory body.
pub type OutgoingRequest = Request<Full<Bytes>>;

/// Reason for a missing response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendError {
    /// No connection could be made, or it closed before any byte of the request was written.
    NotSent,
    /// The connection broke or its response is not valid, and the request may have been written.
    Broken,
}

/// Concurrent exchanges of a pool; further exchanges wait.
const MAX_EXCHANGES: usize = 256;

/// Connections to one address, opened on demand and reused.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    executor: Rc<LocalExecutor<'static>>,
    idle: RefCell<Vec<SendRequest<Full<Bytes>>>>,
    permit_tx: Sender<()>,
    permit_rx: Receiver<()>,
}

/// A response whose body has not been read, and its connection.
#[derive(Debug)]
pub struct Exchange {
    pub response: Response<Incoming>,
    /// Connection that the body is read from.
    pub connection: Connection,
}

/// A connection in use, with its permit.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    _permit: Permit,
}

/// Permit for one exchange, returned to the pool when it is dropped.
#[derive(Debug)]
pub struct Permit(Receiver<()>);

impl Drop for Permit {
    fn drop(&mut self) {
        let _ = self.0.try_recv();
    }
}

impl Pool {
    /// Creates an empty pool whose connections run on `executor`.
    pub fn new(address: SocketAddr, executor: Rc<LocalExecutor<'static>>) -> Pool {
        let (permit_tx, permit_rx) = async_channel::bounded(MAX_EXCHANGES);
        Pool { address, executor, idle: RefCell::new(Vec::new()), permit_tx, permit_rx }
    }

    /// Address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits for a permit to start an exchange.
    pub async fn permit(&self) -> Permit {
        // The channel can't be closed while the pool holds both of its ends.
        let _ = self.permit_tx.send(()).await;
        Permit(self.permit_rx.clone())
    }

    /// Sends a request and waits for the response headers.
    pub async fn send(&self, req: OutgoingRequest) -> Result<Exchange, SendError> {
        self.send_with(self.permit().await, req).await
    }

    /// Sends a request with a permit obtained from [`Pool::permit`].
    ///
    /// If the server has closed an idle connection, the request is retried on another one,
    /// provided that none of it was written.
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

    /// Returns a connection to the pool. The response body must have been read to its end.
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
        // Nagle's algorithm would delay small requests until earlier ones are acknowledged.
        let _ = stream.get_ref().set_nodelay(true);
        let handshake = http1::handshake(FuturesIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| SendError::NotSent)?;
        let connection_task = async move {
            // Connection errors are reported by the request in flight.
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

/// Sends a request on a connection. The error contains the request if none of it was written.
async fn exchange(
    mut sender: SendRequest<Full<Bytes>>,
    req: OutgoingRequest,
) -> Result<(Response<Incoming>, SendRequest<Full<Bytes>>), Option<OutgoingRequest>> {
    if sender.ready().await.is_err() {
        return Err(Some(req));
    }
    let method = req.method().clone();
    match sender.try_send_request(req).await {
        // hyper accepts statuses from 600 to 999 and contradictory lengths.
        Ok(response) if !response_head::is_valid(&method, &response) => Err(None),
        Ok(response) => Ok((response, sender)),
        Err(mut e) => Err(e.take_message()),
    }
}
