//! A request that crashes each backend that runs it comes again and again, with a chunked body, among
//! sound requests to the same path.

use crate::backend::{Action, Behaviour};
use crate::http::{Answer, Body, Request, call};
use crate::world::{HOST, Machine, Network, Port, Record, Route, World};
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

const MACHINES: [Machine; 6] = [
    Machine { zone: "calgary", service: "orders" },
    Machine { zone: "calgary", service: "orders" },
    Machine { zone: "calgary", service: "orders" },
    Machine { zone: "edmonton", service: "orders" },
    Machine { zone: "edmonton", service: "orders" },
    Machine { zone: "edmonton", service: "orders" },
];

const SLOTS: u32 = 6;
const LINK_MBPS: f64 = 100.0;
const WORK: Duration = Duration::from_millis(40);
const DEADLINE: Duration = Duration::from_millis(3_000);

/// Begins the body of the request that crashes backends.
const CRASHING: &str = "crash ";

/// How often the request comes, and the pause between.
const ARRIVALS: usize = 14;
const PAUSE: Duration = Duration::from_millis(3_000);

/// Bounds of the rule: a machine is in touch `contact_ms` after the third crash, and may then send
/// the request to backends three more times.
const CONTACT: f64 = 4.0;
const CRASHES: usize = 3;
const MOST: usize = 3;

struct Shared {
    record: Record,
    network: OnceLock<Network>,
    // When and where a backend began to run the request that crashes it.
    crashes: Mutex<Vec<f64>>,
    next_id: AtomicU64,
    served: AtomicU64,
    lost: AtomicU64,
    refused: AtomicU64,
    over: AtomicBool,
}

impl Shared {
    fn send(&self, machine: usize, body: String) -> Answer {
        let number = self.next_id.fetch_add(1, Ordering::SeqCst);
        let request = Request {
            method: "POST",
            host: HOST.to_owned(),
            target: "/orders/".to_owned(),
            id: format!("{:08x}{number:08x}", std::process::id()),
            deadline: DEADLINE,
            body: Body::Chunked(body.into_bytes()),
        };
        let network = self.network.get().expect("orders begin after the nodes have started");
        call(network.at(machine, Port::Outbound), &request)
    }

    /// Sends sound orders from a machine, one after the other, each with a body of its own.
    fn send_orders(&self, machine: usize) {
        let mut number = 0;
        while !self.over.load(Ordering::SeqCst) {
            number += 1;
            let answer = self.send(machine, format!("order {machine}-{number}"));
            let status = answer.status;
            self.record.log(&format!(
                "order {machine}-{number} was sent to machine {machine} and answered {status}"
            ));
            let counter = match status {
                200 => &self.served,
                503 => &self.refused,
                _ => &self.lost,
            };
            counter.fetch_add(1, Ordering::SeqCst);
            std::thread::sleep(Duration::from_millis(30));
        }
    }
}

/// Returns whether the rule held.
pub fn run(folder: &Path, trouble: bool) -> io::Result<bool> {
    let shared = Arc::new(Shared {
        record: Record::create(&folder.join("record.txt"))?,
        network: OnceLock::new(),
        crashes: Mutex::default(),
        next_id: AtomicU64::new(0),
        served: AtomicU64::new(0),
        lost: AtomicU64::new(0),
        refused: AtomicU64::new(0),
        over: AtomicBool::new(false),
    });
    let route = Route {
        prefix: "/orders/".to_owned(),
        kind: "non_idempotent",
        service: "orders",
        timeout_ms: 2_500,
        attempts: 3,
    };
    let observer = shared.clone();
    let behaviour: Behaviour = Arc::new(move |run| {
        if !run.body.starts_with(CRASHING.as_bytes()) {
            let order = String::from_utf8_lossy(run.body);
            observer.record.log(&format!("backend {} runs {order}", run.backend));
            return Action::Answer(WORK);
        }
        observer.crashes.lock().unwrap().push(observer.record.now());
        let id = run.head.get("attempt-id").unwrap_or_default();
        observer.record.log(&format!("backend {} begins to run {id}, and crashes", run.backend));
        Action::Crash
    });
    let mut world = World::start(&MACHINES, &[route], (SLOTS, LINK_MBPS), &behaviour)?;
    let _ = shared.network.set(world.network);
    shared.record.log("the nodes are ready; orders begin");
    let orders = (0..2 * MACHINES.len()).map(|client| {
        let shared = shared.clone();
        std::thread::spawn(move || shared.send_orders(client % MACHINES.len()))
    });
    let orders: Vec<_> = orders.collect();
    std::thread::sleep(Duration::from_secs(2));
    for arrival in 0..ARRIVALS {
        if trouble {
            let machine = arrival % MACHINES.len();
            shared.record.log(&format!("the crashing request is sent to machine {machine}"));
            let answer = shared.send(machine, format!("{CRASHING}7f3a"));
            let Answer { status, retry_after, took, .. } = answer;
            shared.record.log(&format!(
                "it is answered {status}, retry-after {retry_after:?}, after {} ms",
                took.as_millis()
            ));
        }
        std::thread::sleep(PAUSE);
    }
    shared.over.store(true, Ordering::SeqCst);
    for client in orders {
        let _ = client.join();
    }
    world.check_running()?;
    let crashes = shared.crashes.lock().unwrap().clone();
    let third = crashes.get(CRASHES - 1).copied();
    let late = third.map_or(0, |third| crashes.iter().filter(|at| **at > third + CONTACT).count());
    let count = |counter: &AtomicU64| counter.load(Ordering::SeqCst);
    shared.record.log(&format!(
        "orders: {} served, {} refused, {} without a success; crashes: {}; runs of the crashing \
         request later than {CONTACT} s after the third crash: {late}, allowed {MOST}",
        count(&shared.served),
        count(&shared.refused),
        count(&shared.lost),
        crashes.len()
    ));
    if count(&shared.served) == 0 {
        return Err(io::Error::other("no order was served"));
    }
    Ok(late <= MOST)
}
