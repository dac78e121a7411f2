//! A backend is added. Soon after its start the time of day of its machine jumps back, and the backend
//! crashes and starts again. Some time later it leaves as planned.
//!
//! Rule DRAIN: a request reaches a backend later than `drain_ms` after a machine in touch acknowledged that
//! the backend is `draining`; the acknowledgement is the store's.

use crate::backend::{Backend, Config};
use crate::client::{call, Request};
use crate::node::{Bounds, Fleet, Machine, Network, APP, OUTBOUND, STORE};
use crate::store::Store;
use crate::Record;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Of the site pbfo-mesh.
const BOUNDS: Bounds = Bounds {
    converge_ms: 2_500,
    drain_ms: 2_500,
    grace_s: 6,
    retry_ratio: 0.2,
    retry_slack: 56,
    link_mbps: 1_000.0,
};
const DRAIN: Duration = Duration::from_millis(2_500);

/// Traffic starts this long after the machines do.
const LEAD: Duration = Duration::from_secs(8);
const TRAFFIC: Duration = Duration::from_secs(26);
/// About 70 requests a second, as on the site.
const INTERVAL: Duration = Duration::from_millis(14);

/// The machine that is added, with its backend.
const ADDED: u8 = 9;
/// When the added machine has clients of its own.
const CLIENTS_AT: Duration = Duration::from_secs(7);
const JUMP_MS: i64 = -2_000;

const CONFIG: &str = r#"{"version":7,"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,
"header_timeout_ms":3000,"idle_timeout_ms":15000},"base_rev":0,"listeners":[
{"host":"office.example","rules":[{"name":"r-sign","kind":"non_idempotent","slo_ms":600,"priority":1,
"match":{"prefix":"/sign/"},"action":{"service":"office","timeout_ms":2000,"attempts":2}}]}],
"clusters":[{"name":"desk","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false},
{"name":"office","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false}]}"#;

/// What happens to the backend, in seconds from the start of the traffic.
#[derive(Clone, Copy)]
enum Event {
    Add,
    Jump(i64),
    Crash,
    Up,
    Drain,
    Exit,
}

const EVENTS: [(f64, Event); 7] = [
    (3.0, Event::Add),
    (3.7, Event::Jump(JUMP_MS)),
    (4.0, Event::Crash),
    (4.7, Event::Up),
    (8.7, Event::Jump(0)),
    (14.0, Event::Drain),
    // It serves for drain_ms after the acknowledgement, and some seconds longer.
    (20.0, Event::Exit),
];

pub fn play(root: &Path, folder: &Path, record: &Record, trouble: bool) -> Result<bool, String> {
    let error = |e: std::io::Error| e.to_string();
    let machine = |number, zone, service| Machine { number, zone, region: "alberta", service };
    let machines = vec![
        machine(1, "calgary", "office"),
        machine(2, "regina", "office"),
        machine(3, "winnipeg", "office"),
        machine(4, "edmonton", "office"),
        machine(5, "saskatoon", "office"),
        machine(6, "brandon", "office"),
        machine(7, "calgary", "desk"),
        machine(8, "edmonton", "desk"),
        machine(ADDED, "regina", "office"),
    ];
    let (first, added) = machines.split_at(8);
    let network = Network::find(ADDED).ok_or("no free loopback addresses")?;
    let store = Store::new();
    store.put("op/config", CONFIG);
    store.serve(network.at(0, STORE)).map_err(error)?;
    let mut fleet = Fleet::new(network, machines.clone(), BOUNDS, root, folder, record);
    let start = |machine: &Machine| {
        let Machine { number, zone, service, .. } = machine;
        let cfg = Config {
            id: format!("i-{service}-{number}"),
            service: service.to_string(),
            zone: zone.to_string(),
            addr: network.at(*number, APP),
            slots: 12,
            work: Duration::from_millis(210),
            body_bytes: 1_000,
        };
        Backend::start(cfg, &store, record).map_err(error)
    };
    for machine in first {
        fleet.start(machine)?;
        start(machine)?;
    }
    if !fleet.wait_ready(LEAD) {
        return Err("the nodes are not ready in time".to_owned());
    }
    std::thread::sleep(LEAD);
    let began = Instant::now();
    let mut leaving = None;
    let mut events = EVENTS.iter().copied().peekable();
    let mut acknowledged = None;
    let mut clients = Vec::new();
    let mut number = 0;
    while began.elapsed() < TRAFFIC {
        while let Some((_, event)) = events.next_if(|(at, _)| began.elapsed().as_secs_f64() >= *at) {
            if let Event::Add = event {
                record.line("a machine with a backend is added");
                fleet.start(&added[0])?;
                leaving = Some(start(&added[0])?);
            }
            let Some(leaving) = &leaving else { continue };
            match event {
                Event::Jump(ms) if trouble => {
                    record.line(&format!("the time of day of machine {ADDED} is {ms} ms off"));
                    leaving.clock_off_ms.store(ms, Ordering::SeqCst);
                }
                Event::Crash if trouble => leaving.crash(),
                Event::Up if trouble => leaving.start_again(),
                Event::Drain => {
                    leaving.draining.store(true, Ordering::SeqCst);
                    leaving.beat();
                    acknowledged = Some(Instant::now());
                    record.line("the store acknowledges that the backend is draining");
                }
                Event::Exit => {
                    leaving.end();
                    leaving.remove_entry();
                }
                _ => {}
            }
        }
        number += 1;
        // The added machine has clients as soon as it is ready.
        let with_clients = if began.elapsed() > CLIENTS_AT { &machines[..] } else { first };
        let machine = with_clients[number % with_clients.len()].number;
        let request = Request {
            machine,
            id: format!("{number:016x}"),
            method: "POST",
            host: "office.example",
            path: "/sign/x".to_owned(),
            deadline: Duration::from_secs(4),
            body: b"a signature".to_vec(),
        };
        let record = record.clone();
        let sent_at = began.elapsed();
        let (source, node) = (network.ip(machine), network.at(machine, OUTBOUND));
        clients.push(std::thread::spawn(move || {
            let id = &request.id;
            record.line(&format!("client of machine {machine} sends {id}"));
            let answer = call(source, node, &request);
            record.line(&format!(
                "client of machine {machine} gets {} for {id}: {}",
                answer.status, answer.end
            ));
            (sent_at, answer.status)
        }));
        std::thread::sleep(INTERVAL);
    }
    let answers: Vec<(Duration, u16)> =
        clients.into_iter().filter_map(|client| client.join().ok()).collect();
    // Of requests that the end of the backend may have met.
    let failed = answers.iter().filter(|(sent_at, status)| {
        *sent_at > Duration::from_secs(19) && ![200, 503].contains(status)
    });
    let failed = failed.count();
    let acknowledged = acknowledged.ok_or("the backend did not leave")?;
    let leaving = leaving.ok_or("the backend was not added")?;
    let reached = leaving.reached.lock().unwrap();
    let after: Vec<Duration> = reached
        .iter()
        .filter(|(_, at)| *at > acknowledged)
        .map(|(_, at)| *at - acknowledged)
        .collect();
    let late = after.iter().filter(|after| **after > DRAIN).count();
    record.say(&format!(
        "{} requests reach the backend after the acknowledgement, the last {:?} after it, {late} of them \
         later than drain_ms; {failed} requests were lost around its end",
        after.len(),
        after.iter().max().copied().unwrap_or_default()
    ));
    Ok(late > 0)
}
