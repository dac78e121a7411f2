//! The backends of a zone, one, go down and come back cold. The node beside it is killed and started again.

use crate::backend::{Action, Behaviour};
use crate::http::{Body, Request, call};
use crate::world::{
    COLD_OVER, COLD_PER_S, COLD_S, COLD_SLACK, HOST, Machine, Network, Port, Record, Route, World,
};
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

const MACHINES: [Machine; 7] = [
    Machine { zone: "edmonton", service: "pickups" },
    Machine { zone: "calgary", service: "rounds" },
    Machine { zone: "calgary", service: "rounds" },
    Machine { zone: "calgary", service: "rounds" },
    Machine { zone: "regina", service: "rounds" },
    Machine { zone: "regina", service: "rounds" },
    Machine { zone: "regina", service: "rounds" },
];

/// The machine of the zone edmonton, whose node is killed.
const COLD: usize = 0;

const SLOTS: u32 = 6;
const LINK_MBPS: f64 = 100.0;
const WORK: Duration = Duration::from_millis(40);
const DEADLINE: Duration = Duration::from_millis(3_000);

/// Clients on each of the other machines, and the pause of each between two requests.
const CLIENTS: usize = 2;
const PAUSE: Duration = Duration::from_millis(40);

/// How long the backends of the zone are down, as in `backend`.
const DOWN: Duration = Duration::from_secs(2);

/// From the first run of the new process to the kill, and from there to the start.
const KILLED_AFTER: Duration = Duration::from_millis(250);
const RESTARTED_AFTER: Duration = Duration::from_millis(300);

/// Requests in one second at which the cold backend crashes.
const CRASH_RATE: usize = 30;

struct Shared {
    record: Record,
    network: OnceLock<Network>,
    // When the backend began to run a request while it was cold.
    runs: Mutex<Vec<f64>>,
    crashes: AtomicU64,
    next_id: AtomicU64,
    served: AtomicU64,
    refused: AtomicU64,
    lost: AtomicU64,
    over: AtomicBool,
}

impl Shared {
    fn send_requests(&self, machine: usize) {
        let network = self.network.get().expect("requests begin after the nodes have started");
        while !self.over.load(Ordering::SeqCst) {
            let number = self.next_id.fetch_add(1, Ordering::SeqCst);
            let request = Request {
                method: "POST",
                host: HOST.to_owned(),
                target: format!("/pickups/{number}"),
                id: format!("{:08x}{number:08x}", std::process::id()),
                deadline: DEADLINE,
                body: Body::Empty,
            };
            let answer = call(network.at(machine, Port::Outbound), &request);
            let (id, status) = (&request.id, answer.status);
            self.record.log(&format!("{id} was sent to machine {machine} and answered {status}"));
            let counter = match answer.status {
                200 => &self.served,
                503 => &self.refused,
                _ => &self.lost,
            };
            counter.fetch_add(1, Ordering::SeqCst);
            std::thread::sleep(PAUSE);
        }
    }
}

/// Most of the ascending times that lie within one second.
fn most_in_a_second(times: &[f64]) -> usize {
    let count = |from: &f64| times.iter().filter(|at| (*from..from + 1.0).contains(*at)).count();
    times.iter().map(count).max().unwrap_or(0)
}

/// Returns whether the rule held.
pub fn run(folder: &Path, trouble: bool) -> io::Result<bool> {
    let shared = Arc::new(Shared {
        record: Record::create(&folder.join("record.txt"))?,
        network: OnceLock::new(),
        runs: Mutex::default(),
        crashes: AtomicU64::new(0),
        next_id: AtomicU64::new(0),
        served: AtomicU64::new(0),
        refused: AtomicU64::new(0),
        lost: AtomicU64::new(0),
        over: AtomicBool::new(false),
    });
    let route = Route {
        prefix: "/pickups/".to_owned(),
        kind: "non_idempotent",
        service: "pickups",
        timeout_ms: 2_500,
        attempts: 3,
    };
    let observer = shared.clone();
    let behaviour: Behaviour = Arc::new(move |run| {
        let id = run.head.get("attempt-id").unwrap_or_default();
        observer.record.log(&format!("backend {} runs {id}, cold: {}", run.backend, run.cold));
        if !run.cold {
            return Action::Answer(WORK);
        }
        let now = observer.record.now();
        let mut runs = observer.runs.lock().unwrap();
        runs.push(now);
        let last_second = runs.iter().filter(|at| **at > now - 1.0).count();
        if last_second < CRASH_RATE {
            return Action::Answer(WORK);
        }
        observer.crashes.fetch_add(1, Ordering::SeqCst);
        observer.record.log(&format!(
            "backend {} crashes, {last_second} requests in the last second",
            run.backend
        ));
        Action::Crash
    });
    let mut world = World::start(&MACHINES, &[route], (SLOTS, LINK_MBPS), &behaviour)?;
    let _ = shared.network.set(world.network);
    let clients = (0..CLIENTS * (MACHINES.len() - 1)).map(|client| {
        let (shared, machine) = (shared.clone(), 1 + client % (MACHINES.len() - 1));
        std::thread::spawn(move || shared.send_requests(machine))
    });
    let clients: Vec<_> = clients.collect();
    std::thread::sleep(Duration::from_secs(2));
    shared.record.log("the backends of edmonton go down");
    world.backends[COLD].crash();
    std::thread::sleep(DOWN);
    let started = shared.record.now();
    shared.record.log("they are back, and cold for 3 s");
    while shared.runs.lock().unwrap().is_empty() && shared.record.now() < started + 2.0 {
        std::thread::sleep(Duration::from_millis(2));
    }
    std::thread::sleep(KILLED_AFTER);
    if trouble {
        shared.record.log(&format!("SIGKILL to the node of machine {COLD}"));
        world.fleet.signal(COLD, "KILL")?;
        world.fleet.processes[COLD].wait()?;
        std::thread::sleep(RESTARTED_AFTER);
        world.fleet.restart(&world.network, &MACHINES, COLD, LINK_MBPS)?;
        shared.record.log("it is started again");
    }
    std::thread::sleep(Duration::from_secs_f64(COLD_S));
    shared.over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    world.check_running()?;
    let runs = shared.runs.lock().unwrap().clone();
    let (most, bound) = (most_in_a_second(&runs), COLD_PER_S * COLD_OVER + COLD_SLACK);
    let count = |counter: &AtomicU64| counter.load(Ordering::SeqCst);
    shared.record.log(&format!(
        "requests: {} served, {} refused, {} without a success; crashes of the cold backend: {}; most \
         requests in one second while it was cold: {most}, allowed {bound}",
        count(&shared.served),
        count(&shared.refused),
        count(&shared.lost),
        count(&shared.crashes)
    ));
    match runs.len() {
        0 => Err(io::Error::other("the cold backend got no request")),
        _ => Ok(most as f64 <= bound),
    }
}
