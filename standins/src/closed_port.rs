//! A port that refuses connections.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};

/// A loopback port on which nothing listens. It stays in use until it is dropped: the kernel may give
/// a port that was only released to the next socket that asks for any port.
#[derive(Debug)]
pub struct ClosedPort {
    // Local port of an outgoing connection.
    stream: TcpStream,
    _listener: TcpListener,
}

impl ClosedPort {
    pub fn new() -> io::Result<ClosedPort> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let stream = TcpStream::connect(listener.local_addr()?)?;
        Ok(ClosedPort { stream, _listener: listener })
    }

    pub fn address(&self) -> io::Result<SocketAddr> {
        self.stream.local_addr()
    }
}
