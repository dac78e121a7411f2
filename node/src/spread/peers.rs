//! Outbound connections to peers, opened on demand and closed when idle.

use super::link::{self, ByteCounter};
use super::payload::PayloadCache;
use super::spread_capnp as wire;
use super::{Context, codec};
use async_channel::{Receiver, Sender, TrySendError};
use async_io::Async;
use capnp_rpc::rpc_twoparty_capnp::Side;
use futures_lite::{FutureExt, future};
use futures_util::stream::{FuturesUnordered, StreamExt};
use indexmap::IndexMap;
use std::cell::RefCell;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;
use sycamore_core::place::Link;
use sycamore_core::spread::{Input, Peer, PeerMsg};

/// Timeout for connecting and for the initial `hello`.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Idle timeout. Longer than the heartbeat interval, so that only connections to randomly chosen
/// peers are closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of messages queued per peer. If the queue is full, the message is dropped and the
/// peer is reported as failed.
const MAX_QUEUED_MESSAGES: usize = 256;

/// Maximum number of unacknowledged messages per peer.
const MAX_UNACKED_MESSAGES: usize = 64;

/// Acknowledgement timeout. Guards against a peer that accepts connections but never responds,
/// whose connection and messages would otherwise be kept indefinitely.
const ACK_TIMEOUT: Duration = Duration::from_secs(5);

/// Open connections to peers.
#[derive(Clone)]
pub struct Peers {
    cx: Context,
    local_peer: Peer,
    connections: Rc<RefCell<IndexMap<SocketAddr, Sender<PeerMsg>>>>,
    payloads: Rc<RefCell<PayloadCache>>,
}

impl Peers {
    pub fn new(cx: Context, local_peer: Peer) -> Peers {
        let connections = Rc::new(RefCell::new(IndexMap::new()));
        Peers { cx, local_peer, connections, payloads: Rc::default() }
    }

    /// Sends a message. Failures are reported as [`Input::PeerFailed`].
    pub fn send(&self, to: SocketAddr, link: Link, msg: PeerMsg) {
        let label = [link.label()];
        self.cx.shared.metrics.control_messages.with_label_values(&label).inc();
        let open = self.connections.borrow().get(&to).cloned();
        let Some(queue) = open else { return self.open_connection(to, link, msg) };
        match queue.try_send(msg) {
            Ok(()) => {}
            Err(TrySendError::Full(_)) => self.report_failure(to),
            Err(TrySendError::Closed(msg)) => self.open_connection(to, link, msg),
        }
    }

    fn report_failure(&self, to: SocketAddr) {
        self.connections.borrow_mut().swap_remove(&to);
        // If the queue is full, the failure is detected when a ping goes unanswered.
        let _ = self.cx.inputs.try_send(Input::PeerFailed { to });
    }

    fn open_connection(&self, to: SocketAddr, link: Link, msg: PeerMsg) {
        let (tx, rx) = async_channel::bounded(MAX_QUEUED_MESSAGES);
        let _ = tx.try_send(msg);
        self.connections.borrow_mut().insert(to, tx);
        let peers = self.clone();
        let task = async move {
            let sent_bytes = ByteCounter::default();
            sent_bytes
                .set(peers.cx.shared.metrics.control_bytes.with_label_values(&[link.label()]));
            let result = peers.run(to, sent_bytes, &rx).await;
            rx.close();
            if result.is_err() {
                peers.report_failure(to);
            }
        };
        self.cx.executor.spawn(task).detach();
    }

    /// Connects, introduces this node and sends messages until the connection becomes idle.
    async fn run(
        &self,
        to: SocketAddr,
        sent_bytes: ByteCounter,
        rx: &Receiver<PeerMsg>,
    ) -> Result<(), capnp::Error> {
        let connect = async { Ok(Async::<TcpStream>::connect(to).await?) };
        let stream = connect.or(self.timeout(CONNECT_TIMEOUT)).await?;
        let mut system = link::rpc(stream, sent_bytes, Side::Client, None);
        let node: wire::node::Client = system.bootstrap(Side::Server);
        let disconnector = system.get_disconnector();
        let driver = self.cx.executor.spawn(system);
        let hello = self.hello(node).or(self.timeout(CONNECT_TIMEOUT)).await;
        let result = match hello {
            Ok(session) => self.deliver_messages(&session, rx).await,
            Err(e) => Err(e),
        };
        // The peer may have disconnected already.
        let _ = disconnector.await;
        drop(driver);
        result
    }

    async fn hello(&self, node: wire::node::Client) -> Result<wire::session::Client, capnp::Error> {
        let mut req = node.hello_request();
        codec::write_peer(&self.local_peer, req.get().init_from());
        let response = req.send().promise.await?;
        response.get()?.get_session()
    }

    async fn deliver_messages(
        &self,
        session: &wire::session::Client,
        rx: &Receiver<PeerMsg>,
    ) -> Result<(), capnp::Error> {
        let mut unacked = FuturesUnordered::new();
        loop {
            let full = unacked.len() >= MAX_UNACKED_MESSAGES;
            let next = async {
                if full {
                    return future::pending().await;
                }
                let idle = async {
                    self.cx.shared.clock.sleep(IDLE_TIMEOUT).await;
                    // Closing the channel still delivers messages that were already queued.
                    rx.close();
                    rx.recv().await.ok()
                };
                Event::Message(async { rx.recv().await.ok() }.or(idle).await)
            };
            let acked = async {
                match unacked.next().await {
                    Some(result) => Event::Acked(result),
                    None => future::pending().await,
                }
            };
            match acked.or(next).await {
                Event::Acked(result) => result?,
                Event::Message(None) if unacked.is_empty() => return Ok(()),
                Event::Message(None) => {}
                Event::Message(Some(msg)) => {
                    let req = self.request(session, &msg)?;
                    let sent = async move { req.send().promise.await.map(|_| ()) };
                    unacked.push(sent.or(self.timeout(ACK_TIMEOUT)));
                }
            }
        }
    }

    fn request(
        &self,
        session: &wire::session::Client,
        msg: &PeerMsg,
    ) -> Result<DeliverRequest, capnp::Error> {
        let mut req = session.deliver_request();
        codec::write(msg, &mut self.payloads.borrow_mut(), req.get().init_message())?;
        Ok(req)
    }

    async fn timeout<T>(&self, wait: Duration) -> Result<T, capnp::Error> {
        self.cx.shared.clock.sleep(wait).await;
        Err(capnp::Error::disconnected("peer did not respond in time".into()))
    }
}

type DeliverRequest = capnp::capability::Request<
    wire::session::deliver_params::Owned,
    wire::session::deliver_results::Owned,
>;

enum Event {
    Message(Option<PeerMsg>),
    Acked(Result<(), capnp::Error>),
}
