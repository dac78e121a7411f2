//! HTTP client of the platform's configuration service.

use crate::shared::Shared;
use async_io::Async;
use bytes::Bytes;
use futures_lite::future;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use smol_hyper::rt::FuturesIo;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;
use sycamore_core::Code;
use sycamore_core::config::document::MAX_DOCUMENT_BYTES;
use sycamore_core::spread::{SourceCall, SourceValue};

/// Time allowed for the response after the wait of a blocking query has ended.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Response header with the index of the value's last change.
const INDEX_HEADER: &str = "x-index";

/// Executes one call. Returns the value or the error code.
pub async fn read(shared: &Arc<Shared>, call: &SourceCall) -> Result<SourceValue, Code> {
    shared.metrics.platform_calls.inc();
    let timeout = async {
        shared.clock.sleep(call.wait + RESPONSE_TIMEOUT).await;
        Err(Code::SourceUnreachable)
    };
    future::or(exchange(shared, call), timeout).await
}

async fn exchange(shared: &Arc<Shared>, call: &SourceCall) -> Result<SourceValue, Code> {
    let address = shared.settings.platform_address;
    let stream = Async::<TcpStream>::connect(address).await.map_err(|_| Code::SourceUnreachable)?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(FuturesIo::new(stream))
        .await
        .map_err(|_| Code::SourceUnreachable)?;
    let req = Request::get(request_path(call))
        .header(HOST, address.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(|_| Code::SourceInvalid)?;
    let fetch = async {
        let response = sender.send_request(req).await.map_err(|_| Code::SourceUnreachable)?;
        let status = response.status();
        let index = response.headers().get(INDEX_HEADER).and_then(|value| value.to_str().ok());
        let index = index.and_then(|text| text.parse().ok());
        // Allows one byte over the limit, so that an oversized value is rejected by document
        // validation instead of here.
        let body = Limited::new(response.into_body(), MAX_DOCUMENT_BYTES + 1).collect().await;
        let body = body.map_err(|_| Code::SourceInvalid)?.to_bytes();
        parse_response(status, index, body)
    };
    let connection_driver = async {
        // The connection task yields no result; request errors are reported by `fetch`.
        let _ = connection.await;
        future::pending().await
    };
    future::or(fetch, connection_driver).await
}

fn request_path(call: &SourceCall) -> String {
    let mut path = format!("/v1/kv/{}", call.key);
    if call.index > 0 {
        path.push_str(&format!("?index={}&wait={}s", call.index, call.wait.as_secs().max(1)));
    }
    path
}

fn parse_response(
    status: StatusCode,
    index: Option<u64>,
    body: Bytes,
) -> Result<SourceValue, Code> {
    match status {
        StatusCode::OK => {
            Ok(SourceValue { index: index.ok_or(Code::SourceInvalid)?, body: Some(body) })
        }
        StatusCode::NOT_FOUND => Ok(SourceValue { index: index.unwrap_or(0), body: None }),
        StatusCode::TOO_MANY_REQUESTS => Err(Code::SourceOverLimit),
        status if status.is_server_error() => Err(Code::SourceUnreachable),
        _ => Err(Code::SourceInvalid),
    }
}
