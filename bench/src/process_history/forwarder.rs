//! Links between nodes that a trial can cut: every connection to a node's `gate` or `peers` port
//! passes through here.
//!
//! Nodes are known to each other by the forwarder's addresses and listen on ports of their own. A
//! cut link carries nothing and breaks nothing, as when packets are dropped; what waits goes on
//! after the heal.

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use indexmap::{IndexMap, IndexSet};
use std::io;
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use sycamore_core::Name;

/// How often a cut link looks whether it is healed.
const HEAL_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// How long the table of sockets is used before it is read again.
const SOCKET_TABLE_TTL: Duration = Duration::from_millis(150);

/// Bytes carried at once.
const BUFFER_BYTES: usize = 65_536;

/// A port that other nodes connect to.
#[derive(Clone, Debug)]
pub struct Port {
    /// Zone of the node.
    pub zone: Name,
    /// The address that others know.
    pub advertised: SocketAddr,
    /// The address that the node listens on.
    pub listening: SocketAddr,
    /// Whether the first message on a connection tells its sender's own address.
    pub rewrite_address: bool,
}

#[derive(Debug, Default)]
struct State {
    zones: IndexMap<u32, Name>,
    isolated: IndexSet<Name>,
    origins: OriginZones,
}

/// Carries connections in a thread of its own until it is dropped.
#[derive(Debug)]
pub struct Forwarder {
    state: Arc<Mutex<State>>,
    stop: Option<async_channel::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Forwarder {
    /// Listens on all ports.
    pub fn start(ports: Vec<Port>) -> io::Result<Forwarder> {
        let bind = |port: Port| Ok((TcpListener::bind(port.advertised)?, port));
        let listeners: io::Result<Vec<_>> = ports.into_iter().map(bind).collect();
        let listeners = listeners?;
        let state = Arc::new(Mutex::new(State::default()));
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let shared = state.clone();
        let thread = std::thread::spawn(move || {
            let executor = Rc::new(LocalExecutor::new());
            let serve = |(listener, port)| {
                executor.spawn(accept_connections(executor.clone(), shared.clone(), listener, port))
            };
            let serving: Vec<_> = listeners.into_iter().map(serve).collect();
            future::block_on(executor.run(async {
                // Fails once the sender is dropped, which is the sign to stop.
                let _ = stopped.recv().await;
                // They hold the executor, which would keep them and their sockets for ever.
                for task in serving {
                    task.cancel().await;
                }
            }));
        });
        Ok(Forwarder { state, stop: Some(stop), thread: Some(thread) })
    }

    /// Says in which zone a process runs, so that its connections are known.
    pub fn register_process(&self, process: u32, zone: Name) {
        lock(&self.state).zones.insert(process, zone);
    }

    /// Cuts a zone from all others.
    pub fn isolate(&self, zone: Name) {
        lock(&self.state).isolated.insert(zone);
    }

    /// Heals every link.
    pub fn heal(&self) {
        lock(&self.state).isolated.clear();
    }
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        self.stop.take();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(|e| e.into_inner())
}

async fn accept_connections(
    executor: Rc<LocalExecutor<'static>>,
    state: Arc<Mutex<State>>,
    listener: TcpListener,
    port: Port,
) {
    let Ok(listener) = Async::new(listener) else { return };
    while let Ok((stream, from)) = listener.accept().await {
        let (state, port) = (state.clone(), port.clone());
        let connection = async move {
            // A connection that breaks ends; both sides see that.
            let _ = forward_connection(&state, stream, from, &port).await;
            lock(&state).origins.remove(from);
        };
        executor.spawn(connection).detach();
    }
}

async fn forward_connection(
    state: &Mutex<State>,
    inbound: Async<TcpStream>,
    from: SocketAddr,
    port: &Port,
) -> io::Result<()> {
    let link = Link { state, from, port };
    link.wait_until_healed().await;
    let outbound = Async::<TcpStream>::connect(port.listening).await?;
    let rewrite = port.rewrite_address.then_some(port);
    future::try_zip(link.copy(&inbound, &outbound, rewrite), link.copy(&outbound, &inbound, None))
        .await?;
    Ok(())
}

/// The link that a connection runs over.
struct Link<'a> {
    state: &'a Mutex<State>,
    from: SocketAddr,
    port: &'a Port,
}

impl Link<'_> {
    /// While some zone is cut off, a connection whose origin isn't known yet waits too.
    fn is_cut(&self) -> bool {
        let mut state = lock(self.state);
        let State { zones, isolated, origins } = &mut *state;
        if isolated.is_empty() {
            return false;
        }
        let Some(origin) = origins.zone_of(self.from, self.port.advertised, zones) else {
            return true;
        };
        let zone = &self.port.zone;
        origin != *zone && (isolated.contains(&origin) || isolated.contains(zone))
    }

    async fn wait_until_healed(&self) {
        while self.is_cut() {
            Timer::after(HEAL_POLL_INTERVAL).await;
        }
    }

    async fn copy(
        &self,
        mut from: &Async<TcpStream>,
        mut to: &Async<TcpStream>,
        mut rewrite: Option<&Port>,
    ) -> io::Result<()> {
        let mut buf = vec![0; BUFFER_BYTES];
        loop {
            let count = from.read(&mut buf).await?;
            self.wait_until_healed().await;
            if count == 0 {
                return to.get_ref().shutdown(Shutdown::Write);
            }
            if let Some(port) = rewrite.take() {
                replace_port(&mut buf[..count], port);
            }
            to.write_all(&buf[..count]).await?;
        }
    }
}

/// A node introduces itself by the address that it listens on. Others would answer there, past
/// the forwarder; the port that they know takes its place. Both have the same length.
fn replace_port(buf: &mut [u8], port: &Port) {
    let listening = format!(":{}", port.listening.port()).into_bytes();
    let advertised = format!(":{}", port.advertised.port()).into_bytes();
    let found = buf.windows(listening.len()).position(|window| window == listening);
    if let Some(at) = found.filter(|_| listening.len() == advertised.len()) {
        buf[at..at + advertised.len()].copy_from_slice(&advertised);
    }
}

/// Zones that connections come from. All nodes connect from one loopback address, so that the
/// socket's owner is looked up; the whole table at once, since reading it takes tens of
/// milliseconds on a machine with many sockets.
#[derive(Debug, Default)]
struct OriginZones {
    zones: IndexMap<SocketAddr, Name>,
    read_at: Option<Instant>,
}

impl OriginZones {
    fn zone_of(
        &mut self,
        from: SocketAddr,
        to: SocketAddr,
        processes: &IndexMap<u32, Name>,
    ) -> Option<Name> {
        let zone = self.zones.get(&from).cloned();
        let fresh = self.read_at.is_some_and(|at| at.elapsed() < SOCKET_TABLE_TTL);
        if zone.is_some() || fresh {
            return zone;
        }
        self.refresh(to, processes);
        self.zones.get(&from).cloned()
    }

    fn remove(&mut self, from: SocketAddr) {
        self.zones.swap_remove(&from);
    }

    fn refresh(&mut self, to: SocketAddr, processes: &IndexMap<u32, Name>) {
        let sockets = read_socket_table(to);
        for (process, zone) in processes {
            let files = std::fs::read_dir(format!("/proc/{process}/fd")).into_iter().flatten();
            let links = files.filter_map(|file| std::fs::read_link(file.ok()?.path()).ok());
            for from in links.filter_map(|link| sockets.get(link.to_str()?).copied()) {
                self.zones.insert(from, zone.clone());
            }
        }
        self.read_at = Some(Instant::now());
    }
}

/// Local addresses of connections into the network of `to`, by the names of their sockets.
fn read_socket_table(to: SocketAddr) -> IndexMap<String, SocketAddr> {
    let SocketAddr::V4(to) = to else { return IndexMap::new() };
    // The table shows addresses as numbers in the byte order of the machine.
    let [first, second, ..] = to.ip().octets();
    let network = format!("{second:02X}{first:02X}:");
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let lines = table.lines().filter(|line| line.contains(&network));
    let socket = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let to_network = fields.get(2)?.contains(&network);
        let name = format!("socket:[{}]", fields.get(9)?);
        to_network.then_some((name, parse_address(fields.get(1)?)?))
    };
    lines.filter_map(socket).collect()
}

fn parse_address(text: &str) -> Option<SocketAddr> {
    let (ip, port) = text.split_once(':')?;
    let ip = Ipv4Addr::from(u32::from_str_radix(ip, 16).ok()?.to_ne_bytes());
    Some(SocketAddr::from((ip, u16::from_str_radix(port, 16).ok()?)))
}
