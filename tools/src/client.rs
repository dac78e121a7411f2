//! HTTP requests of the tools to nodes and to the platform.

use crate::input;
use async_io::{Async, Timer};
use bytes::Bytes;
use futures_lite::future;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use serde::de::DeserializeOwned;
use smol_hyper::rt::FuturesIo;
use std::fmt::Display;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use sycamore_core::{Code, Fault, Result, Time};
use sycamore_node::clock::Clock;

/// Largest answer taken, in bytes: room for a full ring of events.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Asks nodes and the platform, each request on a connection of its own.
#[derive(Clone, Debug)]
pub struct Client {
    timeout: Duration,
    clock: Clock,
}

/// An answer, and when it was given by the asking process's clock.
#[derive(Debug)]
pub struct Reply<T> {
    /// The body.
    pub body: T,
    /// Half-way between the request and its answer.
    pub midpoint: Time,
    /// Time from the request to the head of its answer.
    pub round_trip: Duration,
}

impl Client {
    /// A client that gives up on an answer after `timeout`.
    pub fn new(timeout: Duration) -> Client {
        Client { timeout, clock: Clock::new() }
    }

    /// The time now.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Asks for a JSON document.
    pub async fn get<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<Reply<T>> {
        let url = format!("{address}{path}");
        let timed_out = async {
            Timer::after(self.timeout).await;
            let detail = format!("no answer within {} ms", self.timeout.as_millis());
            Err(Fault::new(Code::NodeUnreachable).with_detail(detail))
        };
        let reply = future::or(self.send_request(address, path), timed_out).await;
        let reply = reply.map_err(|fault| fault.with_location(&url))?;
        let body = input::parse_json(&reply.body, Code::NodeInvalid).map_err(|fault| {
            let inner = format!("{url}: {}", fault.location);
            fault.with_location(inner)
        })?;
        Ok(Reply { body, midpoint: reply.midpoint, round_trip: reply.round_trip })
    }

    async fn send_request(&self, address: SocketAddr, path: &str) -> Result<Reply<Bytes>> {
        let stream = Async::<TcpStream>::connect(address).await.map_err(unreachable)?;
        let io = FuturesIo::new(stream);
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake(io).await.map_err(unreachable)?;
        let req = Request::get(path).header(HOST, address.to_string());
        let req = req.body(Empty::<Bytes>::new()).map_err(unreachable)?;
        let exchange = async {
            let sent_at = self.clock.now();
            let response = sender.send_request(req).await.map_err(unreachable)?;
            let round_trip = self.clock.now().since(sent_at);
            if response.status() != StatusCode::OK {
                let detail = format!("answered {}", response.status());
                return Err(Fault::new(Code::NodeInvalid).with_detail(detail));
            }
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
            let body = body.map_err(unreachable)?.to_bytes();
            Ok(Reply { body, midpoint: sent_at + round_trip / 2, round_trip })
        };
        // The connection makes no progress unless it is polled beside the exchange; when it ends
        // the exchange learns of it.
        let connection_driver = async {
            let _ = connection.await;
            future::pending().await
        };
        future::or(exchange, connection_driver).await
    }
}

fn unreachable(cause: impl Display) -> Fault {
    Fault::new(Code::NodeUnreachable).with_detail(cause)
}
