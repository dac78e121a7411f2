//! A connection to a peer: Cap'n Proto RPC over TCP, with a counter of sent bytes.

use super::codec;
use super::spread_capnp as wire;
use async_channel::Sender;
use async_io::Async;
use capnp::capability::Rc as CapabilityRc;
use capnp::message::ReaderOptions;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use futures_lite::io::{AsyncRead, AsyncWrite};
use prometheus::IntCounter;
use std::cell::{OnceCell, RefCell};
use std::net::TcpStream;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use sycamore_core::spread::{Input, Peer};

/// Maximum size of an inbound message, in 8-byte words. Guards against a peer that announces a
/// message larger than the node's memory; such an announcement closes the connection.
const MAX_MESSAGE_WORDS: usize = 1 << 20;

/// Maximum nesting depth of an inbound message.
const MAX_NESTING: i32 = 32;

/// Counts bytes sent to a peer. Bytes are buffered until the link class is known.
#[derive(Clone, Debug, Default)]
pub struct ByteCounter {
    counter: Rc<OnceCell<IntCounter>>,
    pending: Rc<RefCell<u64>>,
}

impl ByteCounter {
    /// Sets the metric and adds the bytes counted so far.
    pub fn set(&self, counter: IntCounter) {
        if self.counter.set(counter).is_ok() {
            self.add(self.pending.take());
        }
    }

    fn add(&self, bytes: u64) {
        match self.counter.get() {
            Some(counter) => counter.inc_by(bytes),
            None => *self.pending.borrow_mut() += bytes,
        }
    }
}

struct CountingWriter<W> {
    inner: W,
    sent_bytes: ByteCounter,
}

impl<W: AsyncWrite + Unpin> AsyncWrite for CountingWriter<W> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_write(cx, buf);
        if let Poll::Ready(Ok(bytes)) = &result {
            self.sent_bytes.add(*bytes as u64);
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}

/// Receives messages from a peer that has introduced itself.
struct Session {
    from: Peer,
    inputs: Sender<Input>,
}

impl wire::session::Server for Session {
    async fn deliver(
        self: CapabilityRc<Self>,
        params: wire::session::DeliverParams,
        _results: wire::session::DeliverResults,
    ) -> Result<(), capnp::Error> {
        let msg = codec::read(params.get()?.get_message()?)?;
        let input = Input::Peer { from: self.from.clone(), msg };
        // Waits while the queue is full, which throttles the peer.
        self.inputs
            .send(input)
            .await
            .map_err(|_| capnp::Error::disconnected("the node is shutting down".into()))
    }
}

/// Creates a session that receives messages from `from`.
pub fn session(from: Peer, inputs: Sender<Input>) -> wire::session::Client {
    capnp_rpc::new_client(Session { from, inputs })
}

/// Starts RPC on a connection. The returned system must be polled; it completes when the connection
/// closes.
pub fn rpc(
    stream: Async<TcpStream>,
    sent_bytes: ByteCounter,
    side: Side,
    bootstrap: Option<capnp::capability::Client>,
) -> RpcSystem<Side> {
    // Avoids the delay of Nagle's algorithm for small messages. If this fails, the connection still
    // works.
    let _ = stream.get_ref().set_nodelay(true);
    let (reader, writer) = split(stream);
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_WORDS)).nesting_limit(MAX_NESTING);
    let writer = CountingWriter { inner: writer, sent_bytes };
    let network = twoparty::VatNetwork::new(reader, writer, side, options);
    RpcSystem::new(Box::new(network), bootstrap)
}

fn split(
    stream: Async<TcpStream>,
) -> (impl AsyncRead + Unpin + 'static, impl AsyncWrite + Unpin + 'static) {
    futures_util::io::AsyncReadExt::split(stream)
}
