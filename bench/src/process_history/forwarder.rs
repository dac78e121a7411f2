//! TCP forwarder through which all connections to the `gate` and `peers` ports of nodes pass, so
//! that a trial can cut links between zones.
//!
//! Nodes advertise the forwarder's addresses and listen on other ports. A cut link delays data
//! without closing connections, like dropped packets; delivery continues after the repair.

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

/// Interval at which a cut link checks whether it has been restored.
const HEAL_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Time after which the socket table is read again.
const SOCKET_TABLE_TTL: Duration = Duration::from_millis(150);

/// Size of the copy buffer.
const BUFFER_BYTES: usize = 65_536;

/// A forwarded port of a node.
#[derive(Clone, Debug)]
pub struct Port {
    pub zone: Name,
    /// Address that other nodes connect to.
    pub advertised: SocketAddr,
    /// Address that the node listens on.
    pub listening: SocketAddr,
    /// Whether to replace the sender's own address in the first data of a connection.
    pub rewrite_address: bool,
}

#[derive(Debug, Default)]
struct State {
    zones: IndexMap<u32, Name>,
    isolated: IndexSet<Name>,
    origins: OriginZones,
}

/// Forwards connections in its own thread until dropped.
#[derive(Debug)]
pub struct Forwarder {
    state: Arc<Mutex<State>>,
    stop: Option<async_channel::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Forwarder {
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
                // Fails once the sender is dropped, which signals shutdown.
                let _ = stopped.recv().await;
                // Cancel the tasks explicitly: they hold the executor and would keep themselves and
                // their sockets alive.
                for task in serving {
                    task.cancel().await;
                }
            }));
        });
        Ok(Forwarder { state, stop: Some(stop), thread: Some(thread) })
    }

    /// Registers the zone of a process, to identify the origin of its connections.
    pub fn register_process(&self, process: u32, zone: Name) {
        lock(&self.state).zones.insert(process, zone);
    }

    /// Cuts the links between a zone and all other zones.
    pub fn isolate(&self, zone: Name) {
        lock(&self.state).isolated.insert(zone);
    }

    /// Restores all links.
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
            // A broken connection closes both sides, so the error needs no handling.
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

/// The link that carries a connection.
struct Link<'a> {
    state: &'a Mutex<State>,
    from: SocketAddr,
    port: &'a Port,
}

impl Link<'_> {
    /// While any zone is isolated, connections of unknown origin are held back as well.
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

/// Replaces the listening port by the advertised one in the address that a node announces;
/// otherwise its peers would bypass the forwarder. Only replaces ports of the same number of
/// digits.
fn replace_port(buf: &mut [u8], port: &Port) {
    let listening = format!(":{}", port.listening.port()).into_bytes();
    let advertised = format!(":{}", port.advertised.port()).into_bytes();
    let found = buf.windows(listening.len()).position(|window| window == listening);
    if let Some(at) = found.filter(|_| listening.len() == advertised.len()) {
        buf[at..at + advertised.len()].copy_from_slice(&advertised);
    }
}

/// Zones from which connections originate. All nodes connect from the same loopback address, so the
/// zone is found through the process that owns the socket. The table is cached, since reading it is
/// slow with many sockets.
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

/// Local addresses of connections into the network of `to`, by socket name.
fn read_socket_table(to: SocketAddr) -> IndexMap<String, SocketAddr> {
    let SocketAddr::V4(to) = to else { return IndexMap::new() };
    // The table contains addresses as hexadecimal numbers in native byte order.
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
