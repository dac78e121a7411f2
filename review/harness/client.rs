//! Stand-in of a client: sends one request to the node of its machine and reads the answer.

use crate::net::{connect_from, read_body, read_head};
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

#[derive(Clone, Debug)]
pub struct Request {
    pub machine: u8,
    pub id: String,
    pub method: &'static str,
    pub host: &'static str,
    pub path: String,
    pub deadline: Duration,
    pub body: Vec<u8>,
}

#[derive(Clone, Debug)]
pub struct Answer {
    pub took: Duration,
    /// 0 without a whole answer.
    pub status: u16,
    pub signature: Option<String>,
    pub end: String,
}

/// Sends a request on a new connection and waits for the answer until the deadline.
pub fn call(source: Ipv4Addr, node: SocketAddrV4, request: &Request) -> Answer {
    let sent_at = Instant::now();
    let mut answer = Answer {
        took: Duration::ZERO,
        status: 0,
        signature: None,
        end: "answered".to_owned(),
    };
    let exchange = || -> std::io::Result<(u16, Option<String>)> {
        let mut stream = connect_from(source, node)?;
        stream.set_read_timeout(Some(request.deadline))?;
        let Request { method, path, host, id, body, .. } = request;
        let deadline = request.deadline.as_millis();
        let length = match body.is_empty() {
            true => String::new(),
            false => format!("Content-Length: {}\r\n", body.len()),
        };
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {host}\r\nAttempt-Id: {id}\r\nDeadline-Ms: {deadline}\r\n{length}\r\n"
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        stream.write_all(&bytes)?;
        let mut reader = BufReader::new(stream);
        let head = read_head(&mut reader)?;
        let head = head.ok_or_else(|| std::io::Error::from(std::io::ErrorKind::UnexpectedEof))?;
        read_body(&mut reader, &head, true)?;
        Ok((head.status(), head.get("response-signature").map(str::to_owned)))
    };
    match exchange() {
        Ok((status, signature)) => (answer.status, answer.signature) = (status, signature),
        Err(e) => answer.end = format!("{:?}", e.kind()),
    }
    answer.took = sent_at.elapsed();
    answer
}
