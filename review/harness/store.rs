//! Stand-in of the platform's metadata store: a key-value store that the system only reads.

use crate::net::{read_body, read_head};
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, (Vec<u8>, u64, u64)>,
    // What was written or removed, in order.
    events: Vec<(u64, String, Option<Vec<u8>>, u64)>,
}

#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn new() -> Store {
        let store = Store::default();
        store.shared.0.lock().unwrap().revision = 1;
        store
    }

    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let created = state.items.get(key).map_or(revision, |item| item.2);
        let value = value.as_bytes().to_vec();
        state.items.insert(key.to_owned(), (value.clone(), revision, created));
        state.events.push((revision, key.to_owned(), Some(value), created));
        self.shared.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.shared.0.lock().unwrap();
        if state.items.remove(key).is_some() {
            state.revision += 1;
            let revision = state.revision;
            state.events.push((revision, key.to_owned(), None, 0));
        }
        self.shared.1.notify_all();
    }

    pub fn serve(&self, at: SocketAddrV4) -> std::io::Result<()> {
        let listener = TcpListener::bind(at)?;
        let store = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                std::thread::spawn(move || store.serve_connection(stream));
            }
        });
        Ok(())
    }

    fn serve_connection(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = read_head(&mut reader) {
            if read_body(&mut reader, &head, false).is_err() {
                return;
            }
            let target = head.line.split(' ').nth(1).unwrap_or_default().to_owned();
            let (status, body) = self.answer(&target);
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if writer.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, target: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let value = |name: &str| -> Option<String> {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| decode(value))
        };
        let prefix = value("prefix").unwrap_or_default();
        let after = value("after");
        match path {
            "/-/kv-range" => {
                let state = self.shared.0.lock().unwrap();
                let after = after.unwrap_or_default();
                let items: Vec<String> = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                    .map(|(key, (value, rev, created))| item(key, value, *rev, *created))
                    .collect();
                (
                    200,
                    format!(
                        "{{\"items\":[{}],\"has_more\":false,\"at\":{}}}",
                        items.join(","),
                        state.revision
                    ),
                )
            }
            "/-/kv-watch" => {
                let after: u64 = after.and_then(|text| text.parse().ok()).unwrap_or(0);
                let wait: u64 = value("wait_ms").and_then(|ms| ms.parse().ok()).unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait.min(30_000));
                let mut state = self.shared.0.lock().unwrap();
                loop {
                    let events: Vec<String> = state
                        .events
                        .iter()
                        .filter(|(rev, key, _, _)| *rev > after && key.starts_with(&prefix))
                        .map(|(rev, key, value, created)| match value {
                            Some(value) => item(key, value, *rev, *created),
                            None => {
                                format!("{{\"key\":\"{key}\",\"rev\":{rev},\"removed\":true}}")
                            }
                        })
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let at = state.revision;
                        return (
                            200,
                            format!("{{\"events\":[{}],\"at\":{at}}}", events.join(",")),
                        );
                    }
                    state = self.shared.1.wait_timeout(state, left).unwrap().0;
                }
            }
            "/-/kv-key" => {
                let state = self.shared.0.lock().unwrap();
                let key = value("key").unwrap_or_default();
                match state.items.get(&key) {
                    Some((value, rev, created)) => (200, item(&key, value, *rev, *created)),
                    None => (404, "{}".to_owned()),
                }
            }
            _ => (404, "{}".to_owned()),
        }
    }
}

fn item(key: &str, value: &[u8], rev: u64, created: u64) -> String {
    let value = base64(value);
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"rev\":{rev},\"created\":{created},\"lease\":0}}"
    )
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let hex = (bytes[index] == b'%').then(|| text.get(index + 1..index + 3)).flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                index += 3;
            }
            None => {
                out.push(bytes[index]);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let mut word = 0u32;
        for index in 0..3 {
            word = word << 8 | u32::from(*group.get(index).unwrap_or(&0));
        }
        for index in 0..4 {
            match index <= group.len() {
                true => out.push(DIGITS[(word >> (18 - 6 * index)) as usize & 63] as char),
                false => out.push('='),
            }
        }
    }
    out
}
