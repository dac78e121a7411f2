//! HTTP/1.1 messages over blocking sockets, as far as the stand-ins need them.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Head of a request or a response: its first line and its headers.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Value of a header, by its name in lower case.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.get(name)?.parse().ok()
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head. Returns `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return match head.first.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        let line = line.trim_end_matches(['\r', '\n']);
        if line.is_empty() {
            if head.first.is_empty() {
                continue;
            }
            return Ok(Some(head));
        }
        if head.first.is_empty() {
            head.first = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a body to its end. A body without a length is one of a request, and empty.
pub fn read_body(reader: &mut impl BufRead, head: &Head) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.get("transfer-encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked")) {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let size = line.trim().split(';').next().unwrap_or_default();
            let size = usize::from_str_radix(size, 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            body.extend(chunk);
            reader.read_line(&mut line)?;
            if size == 0 {
                return Ok(body);
            }
        }
    }
    body.resize(head.number("content-length").unwrap_or(0) as usize, 0);
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// How a client sends a body.
#[derive(Clone, Debug)]
pub enum Body {
    Empty,
    Chunked(Vec<u8>),
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: &'static str,
    pub host: String,
    pub target: String,
    pub id: String,
    pub deadline: Duration,
    pub body: Body,
}

/// What a client saw.
#[derive(Clone, Debug)]
pub struct Answer {
    /// 0 if the connection ended without a complete answer.
    pub status: u16,
    pub retry_after: Option<String>,
    pub took: Duration,
}

/// Sends a request over a new connection, and waits for the answer until the deadline.
pub fn call(node: SocketAddr, request: &Request) -> Answer {
    let started = Instant::now();
    let exchange = || -> io::Result<Head> {
        let stream = TcpStream::connect_timeout(&node, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(request.deadline + Duration::from_millis(500)))?;
        let (framing, body): (String, Vec<u8>) = match &request.body {
            Body::Empty => (String::new(), Vec::new()),
            Body::Chunked(body) => {
                let mut chunks = format!("{:x}\r\n", body.len()).into_bytes();
                chunks.extend_from_slice(body);
                chunks.extend_from_slice(b"\r\n0\r\n\r\n");
                ("Transfer-Encoding: chunked\r\n".to_owned(), chunks)
            }
        };
        let mut message = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nAttempt-Id: {}\r\nDeadline-Ms: {}\r\n{framing}\r\n",
            request.method,
            request.target,
            request.host,
            request.id,
            request.deadline.as_millis()
        )
        .into_bytes();
        message.extend(body);
        (&stream).write_all(&message)?;
        let mut reader = BufReader::new(&stream);
        let head = read_head(&mut reader)?.ok_or(io::Error::from(io::ErrorKind::UnexpectedEof))?;
        read_body(&mut reader, &head)?;
        Ok(head)
    };
    let head = exchange().unwrap_or_default();
    Answer {
        status: head.status(),
        retry_after: head.get("retry-after").map(str::to_owned),
        took: started.elapsed(),
    }
}
