//! A node in an evacuated zone is stopped and started again, while the operators' document is so large
//! that a page of the store ends after it.

use crate::backend::{Action, Behaviour};
use crate::http::{Body, Request, call};
use crate::world::{HOST, IN_TOUCH, Machine, Network, Port, Record, Route, World, is_ready};
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

const MACHINES: [Machine; 6] = [
    Machine { zone: "calgary", service: "orders" },
    Machine { zone: "calgary", service: "orders" },
    Machine { zone: "regina", service: "orders" },
    Machine { zone: "regina", service: "orders" },
    Machine { zone: "edmonton", service: "orders" },
    Machine { zone: "edmonton", service: "orders" },
];

const EVACUATED: &str = "edmonton";

/// A machine of that zone.
const RESTARTED: usize = 4;

const SLOTS: u32 = 8;
const WORK: Duration = Duration::from_millis(20);
const DEADLINE: Duration = Duration::from_millis(3_000);

/// Routes of the document, with which it nearly has the largest size of a value, 1,048,576 bytes.
const ROUTES: usize = 6_150;

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
    let route = |prefix: String| Route {
        prefix,
        kind: "idempotent",
        service: "orders",
        timeout_ms: 2_500,
        attempts: 3,
    };
    let mut routes = vec![route("/orders/".to_owned())];
    routes.extend((1..ROUTES).map(|number| route(format!("/orders-{number:05}/"))));
    let observer = shared.clone();
    let behaviour: Behaviour = Arc::new(move |run| {
        if run.zone == EVACUATED {
            observer.runs.lock().unwrap().push(observer.record.now());
        }
        Action::Answer(WORK)
    });
    let mut world = World::start(&MACHINES, &routes, SLOTS, &behaviour, None)?;
    let _ = shared.network.set(world.network);
    shared.record.log(&format!("op/config has {} bytes", world.document_bytes));
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
    let mut from = acknowledged + EVACUATION_BOUND;
    let before = runs_between(from, f64::MAX);
    shared.record.log(&format!("runs there later than evac_ms after: {before}"));
    if trouble {
        shared.record.log(&format!("SIGTERM to the node of machine {RESTARTED}"));
        world.fleet.signal(RESTARTED, "TERM")?;
        world.fleet.restart(&world.network, &MACHINES, RESTARTED)?;
        let until = Instant::now() + Duration::from_secs(10);
        while !is_ready(&world.network, RESTARTED) && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(20));
        }
        shared.record.log("it has ended, was started again, and is ready");
        std::thread::sleep(IN_TOUCH);
        from = shared.record.now();
        shared.record.log("its machine is in touch again");
    }
    std::thread::sleep(WATCHED);
    shared.over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    world.check_running()?;
    let late = before + runs_between(from, f64::MAX);
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
