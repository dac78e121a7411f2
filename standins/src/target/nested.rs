//! Nested calls that a target makes through the node on its VM.

use super::request::Call;
use async_executor::LocalExecutor;
use async_io::Timer;
use bytes::Bytes;
use futures_lite::future;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use sycamore_tools::load::client::{OutgoingRequest, Pool};
use sycamore_tools::load::pattern::Pattern;

/// Maximum number of attempts of a call, including the first.
const MAX_SENDS: usize = 3;

/// Delay before a retry if the refusal doesn't specify one.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Client that makes calls through one node.
#[derive(Debug)]
pub struct Caller {
    pool: Pool,
}

impl Caller {
    /// Creates a caller for the node at `address`.
    pub fn new(address: SocketAddr, executor: Rc<LocalExecutor<'static>>) -> Caller {
        Caller { pool: Pool::new(address, executor) }
    }

    /// Makes a call. Returns whether the expected response was complete before the deadline.
    pub async fn call(&self, call: Call, deadline: Instant) -> bool {
        let timeout = async {
            Timer::at(deadline).await;
            false
        };
        future::or(self.send(&call, deadline), timeout).await
    }

    async fn send(&self, call: &Call, deadline: Instant) -> bool {
        for _ in 0..MAX_SENDS {
            let Some(req) = request(call, deadline) else { return false };
            let Ok(exchange) = self.pool.send(req).await else { return false };
            let (response, connection) = (exchange.response, exchange.connection);
            if outcome(&response) != "not-run" {
                let expected = is_expected_response(call, response).await;
                self.pool.release(connection);
                return expected;
            }
            Timer::after(retry_after(&response)).await;
            let _ = response.into_body().collect().await;
            self.pool.release(connection);
        }
        false
    }
}

fn request(call: &Call, deadline: Instant) -> Option<OutgoingRequest> {
    let remaining_ms = deadline.saturating_duration_since(Instant::now()).as_millis();
    let method = if call.at_most_once() { "POST" } else { "GET" };
    let mut req = Request::builder()
        .method(method)
        .uri(call.path())
        .header("host", "node")
        .header("x-sycamore-request-id", &call.id[..])
        .header("x-sycamore-deadline-ms", remaining_ms.to_string());
    if let Some(key) = &call.key {
        req = req.header("idempotency-key", &key[..]);
    }
    if let Some(depth) = &call.depth {
        req = req.header("x-sycamore-depth", depth);
    }
    req.body(Full::new(Bytes::new())).ok()
}

fn outcome<B>(response: &Response<B>) -> &str {
    header(response, "x-sycamore-outcome").unwrap_or("unknown")
}

fn retry_after<B>(response: &Response<B>) -> Duration {
    let ms = header(response, "x-sycamore-retry-after-ms").and_then(|text| text.parse().ok());
    ms.map_or(DEFAULT_RETRY_AFTER, Duration::from_millis)
}

fn header<'a, B>(response: &'a Response<B>, name: &str) -> Option<&'a str> {
    response.headers().get(name)?.to_str().ok()
}

/// Reads the response and returns whether it is successful and has the expected body for the call.
async fn is_expected_response(call: &Call, response: Response<hyper::body::Incoming>) -> bool {
    let success = response.status().is_success();
    let Ok(body) = response.into_body().collect().await else { return false };
    let body = body.to_bytes();
    success && body.len() == call.answer_bytes && Pattern::new(&call.id).matches(&body)
}
