//! Versions come in quick succession while a zone is evacuated and the operators' document is so large that
//! a page of the store ends after it.

use crate::backend::{Action, Behaviour};
use crate::http::{Body, Request, call};
use crate::world::{self, HOST, Machine, Network, Port, Record, Route, World};
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

const MACHINES: [Machine; 6] = [
    Machine { zone: "calgary", service: "orders" },
    Machine { zone: "calgary", service: "orders" },
    Machine { zone: "regina", service: "orders" },
    Machine { zone: "regina", service: "orders" },
    Machine { zone: "edmonton", service: "orders" },
    Machine { zone: "edmonton", service: "orders" },
];

const EVACUATED: &str = "edmonton";

/// Versions that are published one after the other, and the pause between.
const VERSIONS: u64 = 10;
const VERSION_PAUSE: Duration = Duration::from_millis(250);

const SLOTS: u32 = 6;
const LINK_MBPS: f64 = 100.0;
const WORK: Duration = Duration::from_millis(20);
const DEADLINE: Duration = Duration::from_millis(3_000);

/// Routes of the first document, and those that each of the next ones adds. With all of them it nearly has
/// the largest size of a value, 1,048,576 bytes.
const ROUTES: usize = 800;
const ADDED_ROUTES: usize = 1_337;
const ADDITIONS: usize = 4;
const ADDITION_PAUSE: Duration = Duration::from_secs(2);

/// `evac_ms`.
const EVACUATION_BOUND: f64 = 5.0;

/// How long requests are watched for after the bound.
const WATCHED: Duration = Duration::from_secs(12);

struct Shared {
    record: Record,
    network: OnceLock<Network>,
    // When a backend of the zone began to run a request.
    runs: Mutex<Vec<f64>>,
    next_id: AtomicU64,
    served: AtomicU64,
    over: AtomicBool,
}

impl Shared {
    fn send_requests(&self, machine: usize) {
        let network = self.network.get().expect("requests begin after the nodes have started");
        while !self.over.load(Ordering::SeqCst) {
            let number = self.next_id.fetch_add(1, Ordering::SeqCst);
            let request = Request {
                method: "GET",
                host: HOST.to_owned(),
                target: "/orders/1".to_owned(),
                id: format!("{:08x}{number:08x}", std::process::id()),
                deadline: DEADLINE,
                body: Body::Empty,
            };
            let answer = call(network.at(machine, Port::Outbound), &request);
            let (id, status) = (&request.id, answer.status);
            self.record.log(&format!("{id} was sent to machine {machine} and answered {status}"));
            if answer.status == 200 {
                self.served.fetch_add(1, Ordering::SeqCst);
            }
            std::thread::sleep(Duration::from_millis(30));
        }
    }
}

/// Returns whether the rule held.
pub fn run(folder: &Path, trouble: bool) -> io::Result<bool> {
    let shared = Arc::new(Shared {
        record: Record::create(&folder.join("record.txt"))?,
        network: OnceLock::new(),
        runs: Mutex::default(),
        next_id: AtomicU64::new(0),
        served: AtomicU64::new(0),
        over: AtomicBool::new(false),
    });
    let routes = |count: usize, timeout_ms: u32| -> Vec<Route> {
        let others = (1..count).map(|number| format!("/orders-{number:05}/"));
        let prefixes = std::iter::once("/orders/".to_owned()).chain(others);
        let route = |prefix: String| Route {
            prefix,
            kind: "idempotent",
            service: "orders",
            timeout_ms,
            attempts: 3,
        };
        prefixes.map(route).collect()
    };
    let observer = shared.clone();
    let behaviour: Behaviour = Arc::new(move |run| {
        let id = run.head.get("attempt-id").unwrap_or_default();
        observer.record.log(&format!("{} in {} runs {id}", run.backend, run.zone));
        if run.zone == EVACUATED {
            observer.runs.lock().unwrap().push(observer.record.now());
        }
        Action::Answer(WORK)
    });
    let mut world =
        World::start(&MACHINES, &routes(ROUTES, 2_500), (SLOTS, LINK_MBPS), &behaviour)?;
    let _ = shared.network.set(world.network);
    let (mut version, mut count, mut bytes) = (1, ROUTES, world.document_bytes);
    for _ in 0..ADDITIONS {
        (version, count) = (version + 2, count + ADDED_ROUTES);
        bytes = world::publish(&world.store, version, &routes(count, 2_500), &["orders"]);
        std::thread::sleep(ADDITION_PAUSE);
    }
    shared.record.log(&format!("op/config has {count} routes and {bytes} bytes"));
    let clients = (0..MACHINES.len()).map(|machine| {
        let shared = shared.clone();
        std::thread::spawn(move || shared.send_requests(machine))
    });
    let clients: Vec<_> = clients.collect();
    std::thread::sleep(Duration::from_secs(2));
    let runs_between = |from: f64, to: f64| {
        shared.runs.lock().unwrap().iter().filter(|at| (from..to).contains(*at)).count()
    };
    shared.record.log(&format!("runs in {EVACUATED} before: {}", runs_between(0.0, f64::MAX)));
    world.store.put(&format!("op/evacuate/{EVACUATED}"), "{}");
    let acknowledged = shared.record.now();
    shared.record.log(&format!("the evacuation of {EVACUATED} is acknowledged"));
    std::thread::sleep(Duration::from_secs_f64(EVACUATION_BOUND + 1.0));
    let from = acknowledged + EVACUATION_BOUND;
    shared
        .record
        .log(&format!("runs there later than evac_ms after: {}", runs_between(from, f64::MAX)));
    if trouble {
        for number in 0..VERSIONS {
            // Versions increase in uneven steps.
            version += 1 + number % 3;
            let timeout_ms = if number % 2 == 0 { 2_000 } else { 2_500 };
            world::publish(&world.store, version, &routes(count, timeout_ms), &["orders"]);
            shared.record.log(&format!("version {version} is acknowledged"));
            std::thread::sleep(VERSION_PAUSE);
        }
    }
    std::thread::sleep(WATCHED);
    shared.over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    world.check_running()?;
    let late = runs_between(from, f64::MAX);
    let served = shared.served.load(Ordering::SeqCst);
    shared.record.log(&format!(
        "requests served: {served}; runs in {EVACUATED}, evacuated all the while, later than evac_ms \
         after, by machines in touch: {late}, allowed 0"
    ));
    match served {
        0 => Err(io::Error::other("no request was served")),
        _ => Ok(late == 0),
    }
}
