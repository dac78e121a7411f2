//! The operator ends a split by setting the weight of one part to 0, and adds and drops a route in the
//! same version.
//!
//! Rule CONFIG: a request sent later than `converge_ms` after the acknowledgement of a version is handled
//! as only an older version allows: run by the old service, run with a dropped route, or refused with
//! 404 though the route is there.

use crate::backend::{Backend, Config};
use crate::client::{call, Request};
use crate::net::SIGTERM;
use crate::node::{Bounds, Fleet, Machine, Network, APP, OUTBOUND, STORE};
use crate::store::Store;
use crate::Record;
use std::path::Path;
use std::sync::{Arc, Mutex};
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
const CONVERGE: Duration = Duration::from_millis(2_500);

/// Traffic starts this long after the machines do.
const LEAD: Duration = Duration::from_secs(8);
/// From the start of the traffic.
const CHANGE_AT: Duration = Duration::from_secs(5);
const TRAFFIC: Duration = Duration::from_secs(25);
const INTERVAL: Duration = Duration::from_millis(100);

/// The document with the parts of the split, and the prefix of the second route.
fn document(version: u64, split: &str, second: &str) -> String {
    let rule = |name: &str, prefix: &str, action: &str| {
        format!(
            r#"{{"name":"{name}","kind":"idempotent","slo_ms":600,"priority":2,"match":{{"prefix":"{prefix}"}},
            "action":{{{action},"timeout_ms":2000,"attempts":2}}}}"#
        )
    };
    let cluster = |name: &str| {
        format!(
            r#"{{"name":"{name}","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false}}"#
        )
    };
    format!(
        r#"{{"version":{version},"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,
        "header_timeout_ms":3000,"idle_timeout_ms":15000}},"base_rev":0,
        "listeners":[{{"host":"desk.example","rules":[{},{}]}}],"clusters":[{},{}]}}"#,
        rule("r-lookup", "/lookup/", &format!(r#""split":[{split}]"#)),
        rule(&format!("r{}", second.replace('/', "-")), second, r#""service":"desk""#),
        cluster("desk"),
        cluster("desk-next")
    )
}

/// The node that is stopped and started again after the traffic.
const RESTARTED: u8 = 1;

fn wait_until(at_most: Duration, mut done: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + at_most;
    while Instant::now() < until {
        if done() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}

/// A request sent after the change, and what became of it.
struct Sent {
    path: &'static str,
    id: String,
    after_ack: Option<Duration>,
    status: u16,
}

pub fn play(root: &Path, folder: &Path, record: &Record, trouble: bool) -> Result<bool, String> {
    let error = |e: std::io::Error| e.to_string();
    let machine = |number, zone, service| Machine { number, zone, region: "alberta", service };
    let machines = vec![
        machine(1, "calgary", "desk"),
        machine(2, "edmonton", "desk"),
        machine(3, "calgary", "desk-next"),
        machine(4, "edmonton", "desk-next"),
    ];
    let network = Network::find(4).ok_or("no free loopback addresses")?;
    let store = Store::new();
    let parts = |old: u32, next: u32| {
        format!(
            r#"{{"service":"desk","weight":{old}}},{{"service":"desk-next","weight":{next}}}"#
        )
    };
    store.put("op/config", &document(7, &parts(90, 10), "/old/"));
    store.serve(network.at(0, STORE)).map_err(error)?;
    let mut fleet = Fleet::new(network, machines.clone(), BOUNDS, root, folder, record);
    fleet.start_all()?;
    let mut backends = Vec::new();
    for Machine { number, zone, service, .. } in &machines {
        let cfg = Config {
            id: format!("i-{service}-{number}"),
            service: service.to_string(),
            zone: zone.to_string(),
            addr: network.at(*number, APP),
            slots: 12,
            work: Duration::from_millis(50),
            body_bytes: 1_000,
        };
        backends.push(Backend::start(cfg, &store, record).map_err(error)?);
    }
    if !fleet.wait_ready(LEAD) {
        return Err("the nodes are not ready in time".to_owned());
    }
    std::thread::sleep(LEAD);
    let began = Instant::now();
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let mut acknowledged: Option<Instant> = None;
    let mut clients = Vec::new();
    let mut number = 0;
    while began.elapsed() < TRAFFIC {
        if acknowledged.is_none() && began.elapsed() >= CHANGE_AT {
            let split = match trouble {
                true => parts(0, 100),
                // The same change without the part.
                false => r#"{"service":"desk-next","weight":100}"#.to_owned(),
            };
            store.put("op/config", &document(9, &split, "/added/"));
            acknowledged = Some(Instant::now());
            record.line(&format!("the store acknowledges version 9, split {split}"));
        }
        for machine in &machines {
            for path in ["/lookup/x", "/old/x", "/added/x"] {
                // Only lookups are steady; the others show which version is in force.
                if path != "/lookup/x" && (number / 3) % 8 >= 4 {
                    continue;
                }
                number += 1;
                let request = Request {
                    machine: machine.number,
                    id: format!("{number:016x}"),
                    method: "GET",
                    host: "desk.example",
                    path: path.to_owned(),
                    deadline: Duration::from_secs(4),
                    body: Vec::new(),
                };
                let (sent, record) = (sent.clone(), record.clone());
                let (source, node) =
                    (network.ip(machine.number), network.at(machine.number, OUTBOUND));
                let after_ack = acknowledged.map(|at| at.elapsed());
                clients.push(std::thread::spawn(move || {
                    let Request { machine, id, path: target, .. } = &request;
                    record.line(&format!("client of machine {machine} sends {id} for {target}"));
                    let answer = call(source, node, &request);
                    record.line(&format!(
                        "client of machine {machine} gets {} for {id}: {}",
                        answer.status, answer.end
                    ));
                    let (id, status) = (request.id, answer.status);
                    sent.lock().unwrap().push(Sent { path, id, after_ack, status });
                }));
            }
        }
        std::thread::sleep(INTERVAL);
    }
    for client in clients {
        let _ = client.join();
    }
    // For the record only: a node that is stopped and started again meanwhile.
    fleet.signal(RESTARTED, SIGTERM);
    let stopped = wait_until(Duration::from_secs(6), || fleet.ended(RESTARTED).is_some());
    fleet.start(&machines[usize::from(RESTARTED) - 1])?;
    let ready = stopped && wait_until(LEAD, || fleet.is_ready(RESTARTED));
    record.say(&format!("node {RESTARTED}, started again under version 9: ready within {LEAD:?}: {ready}"));
    let old: Vec<String> = backends
        .iter()
        .filter(|backend| backend.cfg.service == "desk")
        .flat_map(|backend| backend.runs.lock().unwrap().clone())
        .collect();
    let sent = sent.lock().unwrap();
    Ok(judge(&sent, &old, record))
}

/// The rule as written. `old` are the requests that backends of the part without weight have run.
fn judge(sent: &[Sent], old: &[String], record: &Record) -> bool {
    let old: std::collections::HashSet<&String> = old.iter().collect();
    let before: Vec<&Sent> = sent.iter().filter(|sent| sent.after_ack.is_none()).collect();
    let count = |sent: &[&Sent], path: &str, status: u16| {
        sent.iter().filter(|sent| sent.path == path && sent.status == status).count()
    };
    record.say(&format!(
        "before the change: /lookup/ 200 {} times, /old/ 200 {} times, /added/ 404 {} times",
        count(&before, "/lookup/x", 200),
        count(&before, "/old/x", 200),
        count(&before, "/added/x", 404)
    ));
    let after: Vec<&Sent> = sent
        .iter()
        .filter(|sent| sent.after_ack.is_some_and(|after| after > CONVERGE))
        .collect();
    let by_old = after.iter().filter(|sent| sent.path == "/lookup/x" && old.contains(&sent.id));
    let by_old = by_old.count();
    let dropped = after.iter().filter(|sent| sent.path == "/old/x" && old.contains(&sent.id));
    let dropped = dropped.count();
    let missing = count(&after, "/added/x", 404);
    let of = |path: &str| after.iter().filter(|sent| sent.path == path).count();
    record.say(&format!(
        "sent later than converge_ms after the acknowledgement: {by_old} of {} on the split route run by \
         the part without weight, {dropped} of {} run with the dropped route, {missing} of {} on the added \
         route refused with 404",
        of("/lookup/x"),
        of("/old/x"),
        of("/added/x")
    ));
    by_old + dropped + missing > 0
}
