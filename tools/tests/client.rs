//! The HTTP client of the tools against servers whose responses have a status that HTTP does not have.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::Command;
use std::time::Duration;
use sycamore_core::Code;
use sycamore_tools::client::Client;

const STATUS_LINES: [&str; 8] = [
    "HTTP/1.1 000 X",
    "HTTP/1.1 000",
    "HTTP/1.0 000 X",
    "HTTP/1.1 099 X",
    "HTTP/1.1 600 X",
    "HTTP/1.1 999 X",
    "HTTP/1.1 0 X",
    "HTTP/1.1 1000 X",
];

/// What an admin port returns at `/status` and at `/events`.
const STATUS: &str = r#"{"vm":"a","region":"r","zone":"z","now":2,"started":1,
    "in_force":{"version":4,"preset":"ordinary",
    "digest":"abababababababababababababababababababababababababababababababab"},
    "in_force_since":1,"newest_heard":4,"last_refusal":null,"role":"leaf","parent":null,
    "platform_answers":null,"ready":true,"draining":false,"calls_open":0}"#;
const EVENTS: &str = r#"{"vm":"a","region":"r","zone":"z","now":2,"started":1,"dropped":0,
    "events":[{"at":1,"kind":"started"}]}"#;

/// Starts a server that responds to each request with this status line and body.
fn start(line: &'static str, body: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut lines = BufReader::new(stream.try_clone().unwrap()).lines();
            while lines.next().is_some_and(|line| line.is_ok_and(|line| !line.is_empty())) {}
            let size = body.len();
            let head = format!("{line}\r\nconnection: close\r\ncontent-length: {size}\r\n\r\n");
            let _ = stream.write_all(format!("{head}{body}").as_bytes());
        }
    });
    address
}

/// Guards against a body that is believed although its status is none of HTTP, like 000.
#[test]
fn get_status_000_fails() {
    let client = Client::new(Duration::from_secs(10));
    let get = |line| {
        let address = start(line, "7");
        let reply = async_io::block_on(client.get::<u64>(address, "/"));
        reply.map(|reply| reply.body).map_err(|fault| fault.code)
    };
    assert_eq!(get("HTTP/1.1 200 OK"), Ok(7));
    for line in STATUS_LINES {
        let failed = [Err(Code::NodeUnreachable), Err(Code::NodeInvalid)];
        assert!(failed.contains(&get(line)), "{line:?}: {:?}", get(line));
    }
}

/// Guards against a version that is reported as in force on the word of a response with status 000.
#[test]
fn status_000_of_node() {
    let run = |line| {
        let address = start(line, STATUS).to_string();
        let args = ["--version-in-force", "4", "--node", &address, "--timeout-ms", "10000"];
        let output =
            Command::new(env!("CARGO_BIN_EXE_sycamore-status")).args(args).output().unwrap();
        (output.status.code(), String::from_utf8(output.stdout).unwrap())
    };
    let (exit_code, stdout) = run("HTTP/1.1 200 OK");
    assert_eq!(exit_code, Some(0), "{stdout}");
    for line in STATUS_LINES {
        let (exit_code, stdout) = run(line);
        assert_eq!(exit_code, Some(1), "{line:?}: {stdout}");
        assert!(stdout.contains("E501") || stdout.contains("E504"), "{line:?}: {stdout}");
    }
}

/// Guards against events that are shown although they came in a response with status 000.
#[test]
fn timeline_000_of_node() {
    let run = |line| {
        let address = start(line, EVENTS).to_string();
        let args = ["--node", &address, "--format", "json", "--timeout-ms", "10000"];
        let output =
            Command::new(env!("CARGO_BIN_EXE_sycamore-timeline")).args(args).output().unwrap();
        (output.status.code(), String::from_utf8(output.stdout).unwrap())
    };
    let (exit_code, stdout) = run("HTTP/1.1 200 OK");
    assert_eq!(exit_code, Some(0), "{stdout}");
    assert!(stdout.contains("started"), "{stdout}");
    for line in STATUS_LINES {
        let (exit_code, stdout) = run(line);
        assert_eq!(exit_code, Some(1), "{line:?}: {stdout}");
        assert!(!stdout.contains("started"), "{line:?}: {stdout}");
    }
}
