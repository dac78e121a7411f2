//! Tests of the stand-in for a process that is gone.

use std::io::ErrorKind;
use std::net::{TcpListener, TcpStream};
use sycamore_standins::closed_port::ClosedPort;

/// Guards against a port that another test's listener takes over while this test expects it closed.
#[test]
fn closed_port_stays_closed() {
    let port = ClosedPort::new().unwrap();
    let address = port.address().unwrap();
    let kind = |error: std::io::Error| error.kind();
    assert_eq!(TcpListener::bind(address).map_err(kind).err(), Some(ErrorKind::AddrInUse));
    assert_eq!(TcpStream::connect(address).map_err(kind).err(), Some(ErrorKind::ConnectionRefused));
}
