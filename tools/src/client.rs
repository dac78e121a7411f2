//! HTTP client for the admin ports of nodes and for the platform.

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

/// Maximum response body size. Large enough for a full event ring buffer.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// HTTP client that opens a new connection for each request.
#[derive(Clone, Debug)]
pub struct Client {
    timeout: Duration,
    clock: Clock,
}

/// Deserialized response with the timing of its exchange.
#[derive(Debug)]
pub struct Reply<T> {
    pub body: T,
    /// Midpoint between request and response by the local clock.
    pub midpoint: Time,
    /// Time from sending the request to receiving the response head.
    pub round_trip: Duration,
}

impl Client {
    /// Creates a client whose requests fail after `timeout`.
    pub fn new(timeout: Duration) -> Client {
        Client { timeout, clock: Clock::new() }
    }

    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Sends a GET request and deserializes the JSON response.
    pub async fn get<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<Reply<T>> {
        let url = format!("{address}{path}");
        let timed_out = async {
            Timer::after(self.timeout).await;
            let detail = format!("no response within {} ms", self.timeout.as_millis());
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
                let detail = format!("unexpected HTTP status {}", response.status());
                return Err(Fault::new(Code::NodeInvalid).with_detail(detail));
            }
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
            let body = body.map_err(unreachable)?.to_bytes();
            Ok(Reply { body, midpoint: sent_at + round_trip / 2, round_trip })
        };
        // hyper makes progress only while the connection future is polled. When the connection
        // closes, `exchange` returns the error, so this future never completes.
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
