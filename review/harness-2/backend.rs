//! Stand-in of a backend: runs requests in slots and registers itself in the store.

use crate::http::{Head, read_body, read_head};
use crate::store::Store;
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const BEAT: Duration = Duration::from_millis(1_500);

/// How long a process is cold that starts during traffic, and how many times as long it works then.
const COLD: Duration = Duration::from_secs(3);
const COLD_WORK: u32 = 2;

/// Time after which an idle connection is closed, as `Keep-Alive` says.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Requests that wait for a slot at most.
const MAX_WAITING: u32 = 24;

/// What a backend does with a request that it begins to run.
pub enum Action {
    /// Works for this time and answers.
    Answer(Duration),
    /// Sends half of its answer, and the rest after this pause.
    AnswerInHalves(Duration),
    /// Its process crashes.
    Crash,
}

/// Size of the body of an answer in halves.
const HALVES_BYTES: usize = 60_000;

/// A request that a backend begins to run.
pub struct Run<'a> {
    pub backend: &'a str,
    pub zone: &'a str,
    /// Whether the backend is cold.
    pub cold: bool,
    pub head: &'a Head,
    pub body: &'a [u8],
}

pub type Behaviour = Arc<dyn Fn(&Run<'_>) -> Action + Send + Sync>;

#[derive(Clone)]
pub struct Backend(Arc<Inner>);

struct Inner {
    name: String,
    service: String,
    zone: String,
    address: SocketAddr,
    slots: u32,
    /// How long it stays away after a crash.
    downtime: Duration,
    store: Store,
    behaviour: Behaviour,
    started: Mutex<Started>,
    // Each process has an id of its own.
    process: AtomicU64,
    beats: AtomicU64,
    down: AtomicBool,
    usage: Mutex<Usage>,
    freed: Condvar,
    connections: Mutex<HashMap<u64, TcpStream>>,
    next_connection: AtomicU64,
}

/// The start of a process.
struct Started {
    at: Instant,
    born_ms: u128,
    /// How long it is cold: not if it started before the traffic.
    cold: Duration,
}

impl Started {
    fn now(cold: Duration) -> Started {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Started { at: Instant::now(), born_ms: born.as_millis(), cold }
    }
}

#[derive(Default)]
struct Usage {
    running: u32,
    waiting: u32,
}

impl Backend {
    pub fn start(
        name: String,
        (service, zone): (&str, &str),
        address: SocketAddr,
        slots: u32,
        store: &Store,
        behaviour: Behaviour,
    ) -> std::io::Result<Backend> {
        let listener = TcpListener::bind(address)?;
        let backend = Backend(Arc::new(Inner {
            name,
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            slots,
            downtime: Duration::from_secs(2),
            store: store.clone(),
            behaviour,
            started: Mutex::new(Started::now(Duration::ZERO)),
            process: AtomicU64::new(1),
            beats: AtomicU64::new(0),
            down: AtomicBool::new(false),
            usage: Mutex::default(),
            freed: Condvar::new(),
            connections: Mutex::default(),
            next_connection: AtomicU64::new(0),
        }));
        let (accepting, beating) = (backend.clone(), backend.clone());
        std::thread::spawn(move || accepting.accept(listener));
        std::thread::spawn(move || {
            loop {
                beating.register();
                std::thread::sleep(BEAT);
            }
        });
        Ok(backend)
    }

    fn id(&self) -> String {
        format!("i-{}-{}", self.0.name, self.0.process.load(Ordering::SeqCst))
    }

    /// Milliseconds for which it stays cold.
    fn cold_left(&self) -> u128 {
        let started = self.0.started.lock().unwrap();
        started.cold.saturating_sub(started.at.elapsed()).as_millis()
    }

    fn register(&self) {
        if self.0.down.load(Ordering::SeqCst) {
            return;
        }
        let Inner { service, zone, address, slots, .. } = &*self.0;
        let seq = self.0.beats.fetch_add(1, Ordering::SeqCst) + 1;
        let (cold, born) = (self.cold_left(), self.0.started.lock().unwrap().born_ms);
        let entry = format!(
            "{{\"service\":\"{service}\",\"addr\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"cold_left_ms\":{cold},\
             \"seq\":{seq},\"born\":{born}}}"
        );
        self.0.store.put(&format!("servers/{}", self.id()), &entry);
    }

    /// Ends the process: its connections close and its address refuses new ones. Another process
    /// starts after a while, and the entry of this one expires three beats after its last write.
    pub fn crash(&self) {
        if self.0.down.swap(true, Ordering::SeqCst) {
            return;
        }
        for (_, stream) in self.0.connections.lock().unwrap().drain() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let (backend, key) = (self.clone(), format!("servers/{}", self.id()));
        std::thread::spawn(move || {
            std::thread::sleep(backend.0.downtime);
            backend.0.process.fetch_add(1, Ordering::SeqCst);
            backend.0.beats.store(0, Ordering::SeqCst);
            *backend.0.started.lock().unwrap() = Started::now(COLD);
            backend.0.down.store(false, Ordering::SeqCst);
            backend.register();
            std::thread::sleep(BEAT * 3 - backend.0.downtime);
            backend.0.store.remove(&key);
        });
    }

    fn accept(&self, listener: TcpListener) {
        let _ = listener.set_nonblocking(true);
        let mut listener = Some(listener);
        loop {
            if self.0.down.load(Ordering::SeqCst) {
                listener = None;
            } else if listener.is_none() {
                listener = TcpListener::bind(self.0.address).ok();
                let _ = listener.as_ref().map(|listener| listener.set_nonblocking(true));
            }
            let Some(Ok((stream, _))) = listener.as_ref().map(TcpListener::accept) else {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            };
            let backend = self.clone();
            std::thread::spawn(move || backend.serve(stream));
        }
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nonblocking(false).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(IDLE_TIMEOUT)).ok()?;
        let number = self.0.next_connection.fetch_add(1, Ordering::SeqCst);
        self.0.connections.lock().unwrap().insert(number, stream.try_clone().ok()?);
        if self.0.down.load(Ordering::SeqCst) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let mut reader = BufReader::new(&stream);
        while let Ok(Some(head)) = read_head(&mut reader) {
            let Ok(body) = read_body(&mut reader, &head) else { break };
            if self.respond(&head, &body, &stream).is_none() {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
        self.0.connections.lock().unwrap().remove(&number);
        Some(())
    }

    /// Returns `None` if the connection has to be closed.
    fn respond(&self, head: &Head, body: &[u8], mut stream: &TcpStream) -> Option<()> {
        let own = self.id();
        let load = self.load();
        if head.target() == "/healthz" {
            let text = format!(
                "HTTP/1.1 200 X\r\nInstance-Id: {own}\r\nServer-Load: {load}\r\n\
                 Cold-Ms: {}\r\nContent-Length: 0\r\n\r\n",
                self.cold_left()
            );
            return stream.write_all(text.as_bytes()).ok();
        }
        let id = head.get("attempt-id").unwrap_or_default();
        let mut refuse = |status: u16| {
            let text = format!(
                "HTTP/1.1 {status} X\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\n\
                 Instance-Id: {own}\r\nContent-Length: 0\r\n\r\n"
            );
            stream.write_all(text.as_bytes()).ok()
        };
        if head.get("expect-instance").is_some_and(|expected| expected != own) {
            return refuse(421);
        }
        let deadline = Duration::from_millis(head.number("deadline-ms").unwrap_or(4_000));
        let deadline = Instant::now() + deadline;
        if !self.take_slot(deadline) {
            return refuse(503);
        }
        let cold = self.cold_left() > 0;
        let run = Run { backend: &own, zone: &self.0.zone, cold, head, body };
        let work = match (self.0.behaviour)(&run) {
            Action::Answer(work) => work,
            Action::AnswerInHalves(pause) => {
                let answered = self.answer_in_halves(id, &own, stream, pause);
                self.free_slot();
                return answered;
            }
            Action::Crash => {
                self.free_slot();
                self.crash();
                return None;
            }
        };
        let work = if cold { work * COLD_WORK } else { work };
        let done = Instant::now() + work;
        std::thread::sleep(done.min(deadline).saturating_duration_since(Instant::now()));
        self.free_slot();
        // A process that has crashed meanwhile answers nothing.
        if self.id() != own || self.0.down.load(Ordering::SeqCst) {
            return None;
        }
        let status = if done <= deadline { 200 } else { 504 };
        let text = format!(
            "HTTP/1.1 {status} X\r\nAttempt-Id: {id}\r\nResponse-Signature: {own}.{id}\r\n\
             Server-Load: {load}\r\nKeep-Alive: timeout=10\r\nContent-Length: 2\r\n\r\nok"
        );
        stream.write_all(text.as_bytes()).ok()
    }

    fn answer_in_halves(
        &self,
        id: &str,
        own: &str,
        mut stream: &TcpStream,
        pause: Duration,
    ) -> Option<()> {
        let head = format!(
            "HTTP/1.1 200 X\r\nAttempt-Id: {id}\r\nResponse-Signature: {own}.{id}\r\n\
             Content-Length: {HALVES_BYTES}\r\n\r\n"
        );
        let half = vec![b'x'; HALVES_BYTES / 2];
        stream.write_all(head.as_bytes()).ok()?;
        stream.write_all(&half).ok()?;
        std::thread::sleep(pause);
        stream.write_all(&half).ok()
    }

    fn load(&self) -> String {
        let usage = self.0.usage.lock().unwrap();
        format!("{},{},{}", usage.running, usage.waiting, self.0.slots)
    }

    fn take_slot(&self, deadline: Instant) -> bool {
        let mut usage = self.0.usage.lock().unwrap();
        if usage.waiting >= MAX_WAITING {
            return false;
        }
        usage.waiting += 1;
        while usage.running >= self.0.slots && Instant::now() < deadline {
            let left = deadline.saturating_duration_since(Instant::now());
            usage = self.0.freed.wait_timeout(usage, left).unwrap().0;
        }
        usage.waiting -= 1;
        let free = usage.running < self.0.slots;
        usage.running += u32::from(free);
        free
    }

    fn free_slot(&self) {
        self.0.usage.lock().unwrap().running -= 1;
        self.0.freed.notify_all();
    }
}
