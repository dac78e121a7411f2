//! Minimal HTTP/1.1 over TCP for the stand-ins: heads, bodies, and sockets bound to a machine's address.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read};
use std::net::{Ipv4Addr, SocketAddrV4, TcpStream};
use std::os::fd::{FromRawFd, RawFd};

extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> RawFd;
    fn bind(fd: RawFd, addr: *const u8, len: u32) -> i32;
    fn connect(fd: RawFd, addr: *const u8, len: u32) -> i32;
    fn close(fd: RawFd) -> i32;
    fn kill(pid: i32, signal: i32) -> i32;
}

const AF_INET: i32 = 2;
const SOCK_STREAM_CLOEXEC: i32 = 1 | 0o2000000;

pub const SIGTERM: i32 = 15;

pub fn send_signal(pid: u32, signal: i32) {
    unsafe { kill(pid as i32, signal) };
}

fn sockaddr(addr: SocketAddrV4) -> [u8; 16] {
    let mut raw = [0u8; 16];
    raw[..2].copy_from_slice(&(AF_INET as u16).to_ne_bytes());
    raw[2..4].copy_from_slice(&addr.port().to_be_bytes());
    raw[4..8].copy_from_slice(&addr.ip().octets());
    raw
}

/// Connects from the address of a machine, as processes on that machine do.
pub fn connect_from(source: Ipv4Addr, to: SocketAddrV4) -> io::Result<TcpStream> {
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM_CLOEXEC, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let from = sockaddr(SocketAddrV4::new(source, 0));
        let to = sockaddr(to);
        if bind(fd, from.as_ptr(), 16) < 0 || connect(fd, to.as_ptr(), 16) < 0 {
            let error = io::Error::last_os_error();
            close(fd);
            return Err(error);
        }
        let stream = TcpStream::from_raw_fd(fd);
        stream.set_nodelay(true)?;
        Ok(stream)
    }
}

/// A request or response head: its first line, and its headers with names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub line: String,
    pub headers: HashMap<String, String>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.get(name)?.trim().parse().ok()
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; `None` if the peer closed before its first byte.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return match head.line.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        let text = line.trim_end();
        if head.line.is_empty() {
            if !text.is_empty() {
                head.line = text.to_owned();
            }
            continue;
        }
        if text.is_empty() {
            return Ok(Some(head));
        }
        if let Some((name, value)) = text.split_once(':') {
            head.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

/// Reads a body by its length or its chunks. Without either, `to_end` tells whether it ends with the
/// connection.
pub fn read_body(
    reader: &mut BufReader<TcpStream>,
    head: &Head,
    to_end: bool,
) -> io::Result<Vec<u8>> {
    let chunked = head.get("transfer-encoding").is_some_and(|coding| coding.contains("chunked"));
    let mut body = Vec::new();
    if chunked {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let digits = line.trim_end().split(';').next().unwrap_or_default();
            let size = usize::from_str_radix(digits, 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            body.extend_from_slice(&chunk);
            let mut end = String::new();
            reader.read_line(&mut end)?;
            if size == 0 {
                return Ok(body);
            }
        }
    }
    match head.number("content-length") {
        Some(length) => {
            body.resize(length as usize, 0);
            reader.read_exact(&mut body)?;
        }
        None if to_end => {
            reader.read_to_end(&mut body)?;
        }
        None => {}
    }
    Ok(body)
}
