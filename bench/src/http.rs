//! One HTTP request on a connection of its own, for control ports and operators' ports.

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

/// Longest wait for an answer.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Reads a path. Fails unless the answer is a success.
pub fn get(to: SocketAddr, path: &str) -> io::Result<Bytes> {
    let executor = Rc::new(LocalExecutor::new());
    let pool = Pool::new(to, executor.clone());
    future::block_on(executor.run(send(&pool, "GET", path, Bytes::new())))
}

/// Writes a path. Fails unless the answer is a success.
pub fn put(to: SocketAddr, path: &str, body: Bytes) -> io::Result<Bytes> {
    let executor = Rc::new(LocalExecutor::new());
    let pool = Pool::new(to, executor.clone());
    future::block_on(executor.run(send(&pool, "PUT", path, body)))
}

/// Sends one request through a pool and reads the answer.
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
    Err(io::Error::other(format!("{} answered {status} to {path}", pool.address())))
}
