//! Checks how a caller handles responses, refusals and broken connections.

use async_executor::LocalExecutor;
use futures_lite::future;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Instant;
use sycamore_tools::load::caller::{Job, RetryPolicy, call};
use sycamore_tools::load::client::Pool;
use sycamore_tools::load::history::{Outcome, Record, SendResult};
use sycamore_tools::load::mix::{Mix, MixClass};
use sycamore_tools::load::pattern::Pattern;

const BODY_BYTES: usize = 100;
const REFUSAL: &str = "HTTP/1.1 503 x\r\nx-sycamore-outcome: not-run\r\nx-sycamore-code: 451\r\n\
    x-sycamore-retry-after-ms: 1\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
const UNKNOWN: &str = "HTTP/1.1 504 x\r\nx-sycamore-outcome: unknown\r\nx-sycamore-code: 464\r\n\
    content-length: 0\r\nconnection: close\r\n\r\n";

/// Behaviour of the server on one connection.
#[derive(Clone, Copy)]
enum Step {
    Respond(&'static str),
    Disconnect,
    /// Responds with the first bytes of the body for this request (`own`) or for another one.
    RespondWithBody {
        own: bool,
        bytes: usize,
    },
    NoResponse,
}

/// Starts a server that handles one connection per step and then closes its listener.
fn start(steps: Vec<Step>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let mut open_streams = Vec::new();
        for step in steps {
            let (mut stream, _) = listener.accept().unwrap();
            let mut buf = Vec::new();
            while !buf.ends_with(b"\r\n\r\n") {
                let mut byte = [0];
                stream.read_exact(&mut byte).unwrap();
                buf.push(byte[0]);
            }
            match step {
                Step::Respond(text) => stream.write_all(text.as_bytes()).unwrap(),
                Step::Disconnect => {}
                Step::RespondWithBody { own, bytes } => {
                    stream.write_all(&response_bytes(&buf, own, bytes)).unwrap();
                }
                Step::NoResponse => open_streams.push(stream),
            }
        }
        open_streams.into_iter().for_each(|mut stream| {
            let _ = stream.read(&mut [0]);
        });
    });
    address
}

fn response_bytes(head: &[u8], own: bool, bytes: usize) -> Vec<u8> {
    let head = String::from_utf8_lossy(head);
    let id = head.lines().find_map(|line| line.strip_prefix("x-sycamore-request-id: "));
    let id = if own { id.unwrap() } else { "another request" };
    let mut body = vec![0; bytes];
    Pattern::new(id.as_bytes()).fill(&mut body);
    let head = "HTTP/1.1 200 OK\r\nx-sycamore-outcome: answered\r\nconnection: close\r\n";
    let mut buf = format!("{head}content-length: {BODY_BYTES}\r\n\r\n").into_bytes();
    buf.extend(body);
    buf
}

fn class(deadline_ms: u64) -> MixClass {
    MixClass {
        name: "lookup".into(),
        share: 1,
        path: "/contracts".into(),
        at_most_once: false,
        deadline_ms,
        request_bytes: 0,
        answer_bytes: BODY_BYTES,
        work_us: 0,
        chain: vec!["/a".into(), "/b".into()],
    }
}

fn run(steps: Vec<Step>, deadline_ms: u64) -> Record {
    let executor = Rc::new(LocalExecutor::new());
    let pools = [Pool::new(start(steps), executor.clone())];
    let class = class(deadline_ms);
    let due = Instant::now();
    let job = Job {
        class: &class,
        resource_id: 1,
        due,
        first_entry: 0,
        retry_policy: RetryPolicy::HonourRetryAfter,
    };
    future::block_on(executor.run(call(&job, &pools)))
}

fn results(record: &Record) -> Vec<SendResult> {
    record.sends.iter().map(|send| send.result).collect()
}

const COMPLETE_RESPONSE: Step = Step::RespondWithBody { own: true, bytes: BODY_BYTES };

#[test]
fn call_answered_after_refusal_and_break() {
    let record = run(vec![Step::Respond(REFUSAL), Step::Disconnect, COMPLETE_RESPONSE], 60_000);
    let expected = [SendResult::NotRun, SendResult::Broken, SendResult::Answered];
    assert_eq!(results(&record), expected);
    assert_eq!((record.outcome, record.body_correct), (Outcome::Answered, true));
    assert_eq!(record.sends[0].code, Some(451));
}

#[test]
fn call_body_cut_is_sent_again() {
    let record =
        run(vec![Step::RespondWithBody { own: true, bytes: 40 }, COMPLETE_RESPONSE], 60_000);
    assert_eq!(results(&record), [SendResult::BodyCut, SendResult::Answered]);
    assert_eq!((record.bytes, record.body_correct), (BODY_BYTES as u64, true));
}

#[test]
fn call_answer_of_another_request() {
    let record = run(vec![Step::RespondWithBody { own: false, bytes: BODY_BYTES }], 60_000);
    assert_eq!((record.outcome, record.body_correct), (Outcome::Answered, false));
}

#[test]
fn call_unknown_is_final() {
    let record = run(vec![Step::Respond(UNKNOWN)], 60_000);
    assert_eq!((record.outcome, record.code), (Outcome::Unknown, Some(464)));
}

#[test]
fn call_refused_until_deadline() {
    // The server stops after its refusals. Attempts that can't connect count as not run.
    let record = run(vec![Step::Respond(REFUSAL); 3], 300);
    assert_eq!(record.outcome, Outcome::NotRun);
}

#[test]
fn call_break_then_refusals_is_unknown() {
    // Refusals of later attempts don't prove that an earlier attempt on a broken connection did not
    // run.
    let record = run(vec![Step::Disconnect, Step::Respond(REFUSAL)], 300);
    assert_eq!(record.outcome, Outcome::Unknown);
}

#[test]
fn call_never_answered_is_lost() {
    let record = run(vec![Step::NoResponse], 10);
    assert_eq!((record.outcome, results(&record)), (Outcome::None, vec![SendResult::TimedOut]));
}

/// Guards against a response with a status that HTTP does not have, like 000, that counts as an answer
/// or as a refusal: a node that forwards one would pass the check.
#[test]
fn call_status_000_is_broken() {
    let responses = [
        "HTTP/1.1 000 x\r\ncontent-length: 5\r\n\r\nwhole",
        "HTTP/1.1 099 x\r\ncontent-length: 5\r\n\r\nwhole",
        "HTTP/1.1 600 x\r\ncontent-length: 5\r\n\r\nwhole",
        "HTTP/1.1 999 x\r\ncontent-length: 5\r\n\r\nwhole",
        "HTTP/1.1 000 x\r\nx-sycamore-outcome: not-run\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 600 x\r\nx-sycamore-outcome: not-run\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 600 x\r\nx-sycamore-outcome: unknown\r\ncontent-length: 0\r\n\r\n",
    ];
    for response in responses {
        let record = run(vec![Step::Respond(response), COMPLETE_RESPONSE], 60_000);
        let expected = [SendResult::Broken, SendResult::Answered];
        assert_eq!(results(&record), expected, "{response:?}");
        assert_eq!((record.status, record.body_correct), (Some(200), true), "{response:?}");
    }
}

#[test]
fn mix_target_and_class() {
    let path_and_query = "/contracts/7?work_us=0&bytes=100&chain=/a/7,/b/7";
    assert_eq!(class(1).path_and_query(7), path_and_query);
    let with_share = |share| MixClass { share, ..class(1) };
    let mix = Mix { classes: vec![with_share(2), with_share(0), with_share(1)] };
    let classes: Vec<_> = (0..3).map(|point| mix.class_at(point)).collect();
    assert_eq!(classes, [0, 0, 2]);
}

#[test]
fn pattern_whole_and_changed() {
    let mut body = vec![0; 10_000];
    Pattern::new(b"id").fill(&mut body);
    assert!(Pattern::new(b"id").matches(&body));
    let mut parts = Pattern::new(b"id");
    assert!(parts.matches(&body[..5_000]) && parts.matches(&body[5_000..]));
    body[9_999] ^= 1;
    assert!(!Pattern::new(b"id").matches(&body));
}
