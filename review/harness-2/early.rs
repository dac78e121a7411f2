//! A backend answers a long upload before it has read it, keeps the connection and reads on.

use crate::backend::{Action, Behaviour, EarlyReader, Options};
use crate::http::read_head;
use crate::world::{HOST, Machine, Port, Record, Route, World};
use std::collections::HashMap;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const MACHINES: [Machine; 3] = [
    Machine { zone: "calgary", service: "uploads" },
    Machine { zone: "calgary", service: "uploads" },
    Machine { zone: "edmonton", service: "uploads" },
];

const SLOTS: u32 = 8;
const LINK_MBPS: f64 = 1_000.0;
const WORK: Duration = Duration::from_millis(20);
const TIMEOUT_MS: u32 = 20_000;

/// An upload is sent in parts with a pause between: 5 MB in 5 s.
const PARTS: usize = 50;
const PART_BYTES: usize = 100_000;
const PAUSE: Duration = Duration::from_millis(100);

const UPLOADS: usize = 6;

/// Sends an upload. Returns the status of the answer, and how many bytes of the body were sent.
fn upload(node: SocketAddr, id: &str) -> io::Result<(u16, usize)> {
    let stream = TcpStream::connect_timeout(&node, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(20)))?;
    let size = PARTS * PART_BYTES;
    let head = format!(
        "PUT /uploads/{id} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\n\
         Deadline-Ms: {TIMEOUT_MS}\r\nContent-Length: {size}\r\n\r\n"
    );
    (&stream).write_all(head.as_bytes())?;
    let part = vec![b'p'; PART_BYTES];
    let mut sent = 0;
    for _ in 0..PARTS {
        if (&stream).write_all(&part).is_err() {
            break;
        }
        sent += part.len();
        std::thread::sleep(PAUSE);
    }
    let answer = read_head(&mut BufReader::new(&stream)).ok().flatten().unwrap_or_default();
    Ok((answer.status(), sent))
}

/// Returns whether the rule held.
pub fn run(folder: &Path, trouble: bool) -> io::Result<bool> {
    let record = Arc::new(Record::create(&folder.join("record.txt"))?);
    let received: Arc<Mutex<HashMap<String, usize>>> = Arc::default();
    let (whole, begun) = (received.clone(), received.clone());
    let behaviour: Behaviour = Arc::new(move |run| {
        let id = run.head.get("attempt-id").unwrap_or_default();
        whole.lock().unwrap().insert(id.to_owned(), run.body.len());
        Action::Answer(WORK)
    });
    let early: EarlyReader = Arc::new(move |id, read| {
        begun.lock().unwrap().insert(id.to_owned(), read);
    });
    let route = Route {
        prefix: "/uploads/".to_owned(),
        kind: "non_idempotent",
        service: "uploads",
        timeout_ms: TIMEOUT_MS,
        attempts: 3,
    };
    let options = Options { early: trouble.then_some(early), ..Options::default() };
    let mut world =
        World::start(&MACHINES, &[route], (SLOTS, LINK_MBPS), &behaviour, &options, None)?;
    let network = world.network;
    let clients = (0..UPLOADS).map(|number| {
        let record = record.clone();
        std::thread::spawn(move || {
            let machine = number % MACHINES.len();
            let id = format!("{:08x}{number:08x}", std::process::id());
            record.log(&format!("upload {id} is sent to machine {machine}"));
            let (status, sent) = upload(network.at(machine, Port::Outbound), &id)?;
            record.log(&format!(
                "upload {id}: answered {status}; {sent} of {} bytes could be sent",
                PARTS * PART_BYTES
            ));
            io::Result::Ok((id, status))
        })
    });
    let clients: Vec<_> = clients.collect();
    let results: Vec<(String, u16)> = clients
        .into_iter()
        .map(|client| client.join().expect("a client ends"))
        .collect::<io::Result<_>>()?;
    std::thread::sleep(Duration::from_secs(1));
    world.check_running()?;
    let mut truncated = 0;
    for (id, status) in &results {
        let read = received.lock().unwrap().get(id).copied();
        record.log(&format!("backend: {read:?} bytes of the body of {id}, answered {status}"));
        truncated += usize::from(read.is_some_and(|read| read != PARTS * PART_BYTES));
    }
    record.log(&format!(
        "uploads that a backend began to run and got another body of: {truncated}, allowed 0"
    ));
    Ok(truncated == 0)
}
