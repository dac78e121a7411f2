//! Callers that keep using their connections while the node stops, until its process is gone.

use crate::configured::ready_node_with;
use crate::process::settings;
use rustix::net::{AddressFamily, SocketType, bind, connect, socket};
use rustix::process::Signal;
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const CALLERS: usize = 8;

type Paths = Arc<Mutex<BTreeSet<String>>>;

/// Reads a head without a body. Returns its first line, or `None` at the end of the connection.
fn read_head(reader: &mut impl BufRead) -> Option<(String, usize)> {
    let (mut first, mut size, mut line) = (String::new(), 0, String::new());
    while reader.read_line(&mut line).ok()? > 0 {
        let text = line.trim_end();
        if text.is_empty() {
            return Some((first, size));
        }
        if first.is_empty() {
            first = text.to_owned();
        }
        size = text.strip_prefix("content-length: ").map_or(size, |size| size.parse().unwrap());
        line.clear();
    }
    None
}

/// Starts a target that works this long on each request. Returns its address and the paths it ran.
fn start_target(work: Duration) -> (SocketAddr, Paths) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let runs = Paths::default();
    let log = runs.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, log) = (stream.unwrap(), log.clone());
            std::thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                while let Some((line, _)) = read_head(&mut reader) {
                    log.lock().unwrap().insert(line.split(' ').nth(1).unwrap().to_owned());
                    std::thread::sleep(work);
                    let response = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole";
                    if stream.write_all(response.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, runs)
}

/// Connects from the node's own address, as the callers on its VM do.
fn connect_locally(node: SocketAddr) -> Option<TcpStream> {
    let socket = socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
    bind(&socket, &SocketAddr::new(node.ip(), 0)).unwrap();
    connect(&socket, &node).ok()?;
    Some(TcpStream::from(socket))
}

/// Sends requests one after another until the node accepts no connections, on each connection for as
/// long as it is open. Returns the paths of those without a whole answer and those answered as not run.
fn call_until_gone(node: SocketAddr, caller: usize) -> (Vec<String>, Vec<String>) {
    let (mut lost, mut refused) = (Vec::new(), Vec::new());
    let mut number = 0;
    while let Some(mut stream) = connect_locally(node) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        loop {
            number += 1;
            let path = format!("/{caller}/{number}");
            let sent = write!(stream, "GET {path} HTTP/1.1\r\nhost: ledgers\r\n\r\n");
            let head = sent.ok().and_then(|()| read_head(&mut reader));
            let whole = head.filter(|(_, size)| reader.read_exact(&mut vec![0; *size]).is_ok());
            let Some((line, _)) = whole else {
                lost.push(path);
                break;
            };
            if line.starts_with("HTTP/1.1 503 ") {
                refused.push(path);
                std::thread::sleep(Duration::from_millis(5));
            }
        }
    }
    (lost, refused)
}

/// Guards against requests that arrive late in a planned stop, are forwarded, and are cut without an
/// answer when the process ends, or answered as not run although they were.
#[test]
fn stop_cuts_no_late_request() {
    // Within the time that is left, and beyond it.
    for work in [Duration::from_millis(40), Duration::from_secs(10)] {
        let (target, runs) = start_target(work);
        let mut settings = settings();
        settings["limits"]["stop_timeout_s"] = 3.into();
        let (mut node, settings) = ready_node_with(settings, target, 2_000);
        let address: SocketAddr = settings["listen"]["calls"].as_str().unwrap().parse().unwrap();
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| std::thread::spawn(move || call_until_gone(address, caller)))
            .collect();
        node.wait_until("the target runs a request", |_| !runs.lock().unwrap().is_empty());
        node.signal(Signal::TERM);
        assert_eq!(node.wait().code(), Some(0));
        for caller in callers {
            let (lost, refused) = caller.join().unwrap();
            let runs = runs.lock().unwrap();
            let ran = |paths: &[String]| -> Vec<String> {
                paths.iter().filter(|path| runs.contains(*path)).cloned().collect()
            };
            assert_eq!((ran(&lost), ran(&refused)), (vec![], vec![]), "{work:?}");
        }
    }
}
