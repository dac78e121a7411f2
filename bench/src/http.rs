//! Minimal HTTP client for control and admin ports.

use async_executor::LocalExecutor;
use async_io::Timer;
use bytes::Bytes;
use futures_lite::future;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use sycamore_tools::load::client::Pool;

/// Request timeout.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Sends a GET request on a new connection. Fails unless the response status is a success.
pub fn get(to: SocketAddr, path: &str) -> io::Result<Bytes> {
    let executor = Rc::new(LocalExecutor::new());
    let pool = Pool::new(to, executor.clone());
    future::block_on(executor.run(send(&pool, "GET", path, Bytes::new())))
}

/// Sends a PUT request on a new connection. Fails unless the response status is a success.
pub fn put(to: SocketAddr, path: &str, body: Bytes) -> io::Result<Bytes> {
    let executor = Rc::new(LocalExecutor::new());
    let pool = Pool::new(to, executor.clone());
    future::block_on(executor.run(send(&pool, "PUT", path, body)))
}

/// Sends a request through a connection pool and reads the response body.
pub async fn send(pool: &Pool, method: &str, path: &str, body: Bytes) -> io::Result<Bytes> {
    let timeout = async {
        Timer::after(TIMEOUT).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    future::or(exchange(pool, method, path, body), timeout).await
}

async fn exchange(pool: &Pool, method: &str, path: &str, body: Bytes) -> io::Result<Bytes> {
    let req = Request::builder().method(method).uri(path).header("host", "control");
    let req = req.body(Full::new(body)).map_err(io::Error::other)?;
    let unreachable = |_| io::Error::from(io::ErrorKind::ConnectionAborted);
    let exchange = pool.send(req).await.map_err(unreachable)?;
    let status = exchange.response.status();
    let body = exchange.response.into_body().collect().await.map_err(io::Error::other)?;
    pool.release(exchange.connection);
    if status.is_success() {
        return Ok(body.to_bytes());
    }
    Err(io::Error::other(format!("{} responded with {status} to {method} {path}", pool.address())))
}
