//! Stand-in of the platform's store: ranges, watches and single items, all consistent.

use crate::http::{read_body, read_head};
use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

const MAX_WAIT_MS: u64 = 30_000;

/// Size of the values, as encoded, after which a page of a range ends.
const MAX_PAGE_BYTES: usize = 1_000_000;
const MAX_PAGE_ITEMS: usize = 500;

#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<Items>, Condvar)>);

#[derive(Default)]
struct Items {
    revision: u64,
    // By key, as JSON.
    items: BTreeMap<String, String>,
    // Revisions at which the items were created.
    created: BTreeMap<String, u64>,
    // Every write and removal, in order.
    events: Vec<(u64, String, String)>,
}

impl Store {
    /// Writes an item. Returns its revision.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let mut items = self.0.0.lock().unwrap();
        items.revision += 1;
        let revision = items.revision;
        let value = base64(value.as_bytes());
        let created = *items.created.entry(key.to_owned()).or_insert(revision);
        let item = format!(
            "{{\"key\":\"{key}\",\"value\":\"{value}\",\"rev\":{revision},\"created\":{created},\"lease\":0}}"
        );
        items.items.insert(key.to_owned(), item.clone());
        items.events.push((revision, key.to_owned(), item));
        self.0.1.notify_all();
        revision
    }

    pub fn remove(&self, key: &str) {
        let mut items = self.0.0.lock().unwrap();
        if items.items.remove(key).is_some() {
            items.created.remove(key);
            items.revision += 1;
            let revision = items.revision;
            let event = format!("{{\"key\":\"{key}\",\"rev\":{revision},\"removed\":true}}");
            items.events.push((revision, key.to_owned(), event));
        }
        self.0.1.notify_all();
    }

    /// Serves reads until the process ends.
    pub fn serve(&self, at: SocketAddr) -> io::Result<()> {
        let listener = TcpListener::bind(at)?;
        let store = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                std::thread::spawn(move || store.serve_connection(&stream));
            }
        });
        Ok(())
    }

    fn serve_connection(&self, mut stream: &TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = read_head(&mut reader) {
            read_body(&mut reader, &head).ok()?;
            let (status, body) = self.read(head.target());
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            stream.write_all((head + &body).as_bytes()).ok()?;
        }
        Some(())
    }

    fn read(&self, target: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| percent_decode(value))
        };
        let prefix = parameter("prefix").unwrap_or_default();
        let after = parameter("after").unwrap_or_default();
        match path {
            "/-/kv-range" => self.range(&prefix, &after),
            "/-/kv-watch" => {
                let wait = parameter("wait_ms").and_then(|ms| ms.parse().ok()).unwrap_or(0);
                self.watch(&prefix, after.parse().unwrap_or(0), wait)
            }
            "/-/kv-key" => {
                let items = self.0.0.lock().unwrap();
                let item = items.items.get(&parameter("key").unwrap_or_default());
                item.map_or((404, "{}".to_owned()), |item| (200, item.clone()))
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let items = self.0.0.lock().unwrap();
        let mut page: Vec<&str> = Vec::new();
        let (mut size, mut has_more) = (0, false);
        let found = items.items.iter();
        for (_, item) in found.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after) {
            if page.len() >= MAX_PAGE_ITEMS || size >= MAX_PAGE_BYTES {
                has_more = true;
                break;
            }
            size += item.len();
            page.push(item);
        }
        let page = page.join(",");
        let at = items.revision;
        (200, format!("{{\"items\":[{page}],\"has_more\":{has_more},\"at\":{at}}}"))
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms.min(MAX_WAIT_MS));
        let mut items = self.0.0.lock().unwrap();
        loop {
            let events = items.events.iter();
            let events: Vec<&str> = events
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(_, _, event)| event.as_str())
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, at) = (events.join(","), items.revision);
                return (200, format!("{{\"events\":[{events}],\"at\":{at}}}"));
            }
            items = self.0.1.wait_timeout(items, left).unwrap().0;
        }
    }
}

fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, others)) = rest.split_first() {
        rest = others;
        let hex = others.get(..2).and_then(|hex| std::str::from_utf8(hex).ok());
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()).filter(|_| *first == b'%') {
            Some(byte) => {
                bytes.push(byte);
                rest = &others[2..];
            }
            None => bytes.push(*first),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            match digit <= chunk.len() {
                true => text.push(DIGITS[(bits >> (18 - 6 * digit) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}
