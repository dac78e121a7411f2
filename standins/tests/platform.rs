//! Checks the platform stand-in against docs/INTERFACES.md.

use async_executor::LocalExecutor;
use bytes::Bytes;
use futures_lite::future;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use std::net::SocketAddr;
use std::rc::Rc;
use sycamore_standins::platform::{Addresses, Platform, PlatformConfig, Store};
use sycamore_tools::load::client::Pool;

const LOOPBACK_ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

#[derive(Debug, PartialEq)]
struct PlatformResponse {
    status: u16,
    index: Option<String>,
    body: Bytes,
}

fn start(max_calls_per_second: u64) -> Addresses {
    let mut store = Store::new();
    store.put("in-force", Bytes::from_static(b"first"));
    let cfg = PlatformConfig {
        listen: vec![LOOPBACK_ANY_PORT],
        control: LOOPBACK_ANY_PORT,
        max_calls_per_second,
        store,
    };
    Platform::spawn(cfg).unwrap()
}

/// Sends one request on a new connection. Returns `None` if it closes without a response.
async fn send(to: SocketAddr, method: Method, path: &str, body: &str) -> Option<PlatformResponse> {
    let executor = Rc::new(LocalExecutor::new());
    let pool = Pool::new(to, executor.clone());
    let body = Full::new(Bytes::copy_from_slice(body.as_bytes()));
    let req = Request::builder().method(method).uri(path).header("host", "platform");
    let exchange = executor.run(pool.send(req.body(body).unwrap())).await.ok()?;
    let (response, _connection) = (exchange.response, exchange.connection);
    let index = response.headers().get("x-index").map(|v| v.to_str().unwrap().to_string());
    let status = response.status().as_u16();
    let body = executor.run(response.into_body().collect()).await.ok()?.to_bytes();
    Some(PlatformResponse { status, index, body })
}

async fn get(to: SocketAddr, path: &str) -> Option<PlatformResponse> {
    send(to, Method::GET, path, "").await
}

async fn put(to: SocketAddr, path: &str, body: &str) -> Option<PlatformResponse> {
    send(to, Method::PUT, path, body).await
}

fn value(body: &'static str, index: &str) -> Option<PlatformResponse> {
    Some(PlatformResponse { status: 200, index: Some(index.into()), body: Bytes::from(body) })
}

#[test]
fn read_key_and_missing_key() {
    let at = start(100);
    future::block_on(async {
        assert_eq!(get(at.readers[0], "/v1/kv/in-force").await, value("first", "1"));
        let missing = get(at.readers[0], "/v1/kv/preset/none").await;
        assert_eq!(missing.map(|response| response.status), Some(404));
    });
}

#[test]
fn watch_change_and_timeout() {
    let at = start(100);
    future::block_on(async {
        let unchanged = get(at.readers[0], "/v1/kv/in-force?index=1&wait=50ms").await;
        assert_eq!(unchanged, value("first", "1"));
        let watch = get(at.readers[0], "/v1/kv/in-force?index=1&wait=30s");
        let change = put(at.control, "/v1/kv/in-force", "second");
        let (seen, _) = future::zip(watch, change).await;
        assert_eq!(seen, value("second", "2"));
    });
}

#[test]
fn faults_cut_one_of_two() {
    // Blocking one zone must not close the watches of other zones.
    let mut store = Store::new();
    store.put("in-force", Bytes::from_static(b"first"));
    let listen = vec![LOOPBACK_ANY_PORT, "127.0.0.2:0".parse().unwrap()];
    let cfg =
        PlatformConfig { listen, control: LOOPBACK_ANY_PORT, max_calls_per_second: 100, store };
    let at = Platform::spawn(cfg).unwrap();
    future::block_on(async {
        let path = "/v1/kv/in-force?index=1&wait=30s";
        let watches = future::zip(get(at.readers[0], path), get(at.readers[1], path));
        let change = async {
            put(at.control, "/faults", r#"{"cut":["127.0.0.2"]}"#).await;
            put(at.control, "/v1/kv/in-force", "second").await;
        };
        let ((other, cut), ()) = future::zip(watches, change).await;
        assert_eq!((other, cut), (value("second", "2"), None));
    });
}

#[test]
fn faults_silent_until_healed() {
    let at = start(100);
    future::block_on(async {
        put(at.control, "/faults", r#"{"silent":true}"#).await;
        let read = get(at.readers[0], "/v1/kv/in-force");
        let clear_faults = put(at.control, "/faults", "{}");
        let (seen, _) = future::zip(read, clear_faults).await;
        assert_eq!(seen, value("first", "1"));
    });
}

#[test]
fn read_over_limit() {
    let at = start(0);
    future::block_on(async {
        let refused = get(at.readers[0], "/v1/kv/in-force").await;
        assert_eq!(refused.map(|response| response.status), Some(429));
        let counts = get(at.control, "/counts").await.unwrap().body;
        assert!(counts.starts_with(br#"{"calls":1,"refused":1"#), "{counts:?}");
    });
}

#[test]
fn faults_cut_and_stale() {
    let at = start(100);
    future::block_on(async {
        put(at.control, "/v1/kv/in-force", "second").await;
        put(at.control, "/faults", r#"{"as_of":1}"#).await;
        assert_eq!(get(at.readers[0], "/v1/kv/in-force").await, value("first", "1"));
        let watch = get(at.readers[0], "/v1/kv/in-force?index=9&wait=30s");
        let cut = put(at.control, "/faults", r#"{"cut":["127.0.0.1"]}"#);
        let (seen, _) = future::zip(watch, cut).await;
        assert_eq!(seen, None);
        assert_eq!(get(at.readers[0], "/v1/kv/in-force").await, None);
        put(at.control, "/faults", "{}").await;
        assert_eq!(get(at.readers[0], "/v1/kv/in-force").await, value("second", "2"));
    });
}
