//! Test driver for a single discovery node, with the test in the place of the store.

// Not every test file uses every helper.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use sycamore_core::config::{Preset, Snapshot};
use sycamore_core::discovery::{
    Call, Change, Config, Discovery, Input, Output, Publication, ReadError, Reply, Request,
    TargetEntry, TargetState,
};
use sycamore_core::event::{Event, EventKind};
use sycamore_core::place::Place;
use sycamore_core::spread::PeerMsg;
use sycamore_core::spread::message::Summary;
use sycamore_core::{Code, Name, Time};

pub const START: Time = Time(1_700_000_000_000_000);

const LONGEST_READING_DELAY: Duration = Duration::from_millis(500);

pub fn name(text: &str) -> Name {
    Name::new(text.to_owned()).unwrap()
}

pub fn place() -> Place {
    Place { region: name("r"), zone: name("z") }
}

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn publication(version: u64) -> Change {
    let text = r#"{"name":"p","services":{"s":{"targets":[]}},
        "routes":{"a":{"path_prefix":"/a/","service":"s","idempotent":true}}}"#;
    let preset: Preset = serde_json::from_str(text).unwrap();
    Change::Published(Ok(Arc::new(Publication { version, preset })))
}

pub fn entry(address: &str, state: TargetState, started_ms: u64, revision: u64) -> TargetEntry {
    let address = address.parse().unwrap();
    let service = name("s");
    TargetEntry {
        service,
        address,
        place: place(),
        slots: 12,
        state,
        started_ms,
        revision,
        cold: false,
        evacuated: false,
    }
}

pub fn target(id: &str, entry: TargetEntry) -> Change {
    Change::Target { id: name(id), entry: Some(entry) }
}

pub fn ready(id: &str, ip: u8) -> Change {
    target(id, entry(&format!("10.0.0.{ip}:80"), TargetState::Ready, 1_000, 1))
}

/// Node whose store calls the test responds to.
pub struct Node {
    pub discovery: Discovery,
    pub now: Time,
    /// The pending call, if there is one, and the read of the document beside it.
    pub calls: Vec<Call>,
    pub sent: Vec<(SocketAddr, PeerMsg)>,
    pub events: Vec<Event>,
    pub snapshot: Option<Arc<Snapshot>>,
    pub wake: Option<Time>,
    /// Summary that the node announced to its peers.
    pub announced: Option<Box<Summary>>,
}

impl Node {
    pub fn new() -> Node {
        Node::with_link(None)
    }

    pub fn with_link(link_kbps: Option<u64>) -> Node {
        Node::with_bound(link_kbps, ms(2_500))
    }

    pub fn with_bound(link_kbps: Option<u64>, change_bound: Duration) -> Node {
        let seeds = vec!["10.0.0.9:7".parse().unwrap()];
        let cfg = Config {
            place: place(),
            address: "10.0.0.1:7".parse().unwrap(),
            link_kbps,
            change_bound,
            seeds,
            gate_port: 5,
            peers_port: 7,
        };
        let mut node = Node {
            discovery: Discovery::new(cfg, 1),
            now: START,
            calls: Vec::new(),
            sent: Vec::new(),
            events: Vec::new(),
            snapshot: None,
            wake: None,
            announced: None,
        };
        node.input(Input::Start);
        node
    }

    /// Node that has read version 1 and these targets.
    pub fn with_targets(targets: Vec<Change>) -> Node {
        let mut node = Node::new();
        let mut changes = vec![publication(1)];
        changes.extend(targets);
        node.reply_list(10, changes);
        node
    }

    /// Responds with a stale list, after which nothing has changed. The node may leave the rest to
    /// another reader for a while.
    pub fn reply_list(&mut self, revision: u64, changes: Vec<Change>) {
        self.reply(revision, changes);
        let waits = self.calls.is_empty();
        self.advance(if waits { LONGEST_READING_DELAY } else { Duration::ZERO });
        self.finish_list(revision, vec![], vec![]);
    }

    /// Responds to the reads that complete a stale list.
    pub fn finish_list(&mut self, revision: u64, entries: Vec<Change>, document: Vec<Change>) {
        assert!(matches!(self.calls[0].request, Request::Entries { .. }), "{:?}", self.calls);
        self.reply(revision, entries);
        assert!(matches!(self.calls[0].request, Request::Document), "{:?}", self.calls);
        self.reply(revision, document);
    }

    pub fn input(&mut self, input: Input) {
        let mut out = Vec::new();
        self.wake = None;
        self.discovery.handle(self.now, input, &mut out);
        for output in out {
            match output {
                Output::Read(call) if self.reads_beside(&call) => self.calls.push(call),
                // Any other unanswered call is lost once the node makes another.
                Output::Read(call) => self.calls = vec![call],
                Output::InForce(snapshot) => self.snapshot = Some(snapshot),
                Output::Send { to, msg, .. } => self.sent.push((to, msg)),
                Output::WakeAt(at) => self.wake = Some(at),
                Output::Event(event) => self.events.push(event),
                _ => {}
            }
        }
    }

    /// Whether this call is made beside the pending one.
    fn reads_beside(&self, call: &Call) -> bool {
        let reads_entries = |call: &Call| matches!(call.request, Request::Entries { .. });
        matches!(call.request, Request::Document) && self.calls.iter().any(reads_entries)
    }

    /// Advances the clock and delivers every wake-up that becomes due.
    pub fn advance(&mut self, span: Duration) {
        let until = self.now + span;
        while let Some(wake) = self.wake.filter(|wake| *wake <= until) {
            self.now = self.now.max(wake);
            self.input(Input::Wake);
        }
        self.now = until;
    }

    /// Number of recorded events of this kind.
    pub fn count(&self, kind: EventKind) -> usize {
        self.events.iter().filter(|event| event.kind == kind).count()
    }

    /// Removes and returns the pending call.
    pub fn call(&mut self) -> Call {
        assert!(!self.calls.is_empty(), "no pending call");
        self.calls.remove(0)
    }

    pub fn finish_call(&mut self, result: Result<Reply, ReadError>) {
        let call = self.call();
        self.input(Input::Reply { id: call.id, result });
    }

    pub fn reply(&mut self, revision: u64, changes: Vec<Change>) {
        self.finish_call(Ok(Reply { revision, changes, next: None }));
    }

    pub fn fail_call(&mut self) {
        self.finish_call(Err(ReadError::Failed(Code::SourceUnreachable)));
    }

    /// Names of the targets in the current snapshot that accept requests.
    pub fn targets(&self) -> Vec<String> {
        let Some(snapshot) = &self.snapshot else { return Vec::new() };
        let staying = snapshot.targets().iter().filter(|entry| !entry.target.leaving);
        staying.map(|entry| entry.target.vm.to_string()).collect()
    }

    pub fn version(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |snapshot| snapshot.version())
    }

    /// Advances the clock while the store responds that nothing has changed.
    pub fn quiet(&mut self, revision: u64, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            if !self.calls.is_empty() {
                self.reply(revision, vec![]);
            }
            self.advance(ms(100));
        }
    }

    /// Fails every call for `span`.
    pub fn outage(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            while !self.calls.is_empty() {
                self.fail_call();
            }
            self.advance(ms(100));
        }
    }
}
