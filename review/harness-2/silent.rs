//! A node's settings file changes (SIGHUP) while backends pause in the middle of their answers, well
//! within the deadline of the client and the timeout of the route.

use crate::backend::{Action, Behaviour};
use crate::http::{Body, Request, call};
use crate::world::{HOST, Machine, Port, Record, Route, World};
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

const MACHINES: [Machine; 4] = [
    Machine { zone: "calgary", service: "ledgers" },
    Machine { zone: "calgary", service: "ledgers" },
    Machine { zone: "edmonton", service: "ledgers" },
    Machine { zone: "edmonton", service: "ledgers" },
];

/// The machine that gets SIGHUP.
const RELOADED: usize = 0;

const SLOTS: u32 = 6;
const LINK_MBPS: f64 = 100.0;
const PAUSE: Duration = Duration::from_secs(11);
const TIMEOUT_MS: u32 = 20_000;

/// `converge_ms`: requests sent up to this time after SIGHUP count.
const CONVERGE: f64 = 3.0;

/// Requests to each machine.
const REQUESTS: usize = 4;

/// Returns whether the rule held.
pub fn run(folder: &Path, trouble: bool) -> io::Result<bool> {
    let record = Arc::new(Record::create(&folder.join("record.txt"))?);
    let observer = record.clone();
    let behaviour: Behaviour = Arc::new(move |run| {
        let id = run.head.get("attempt-id").unwrap_or_default();
        let deadline = run.head.get("deadline-ms").unwrap_or_default();
        observer.log(&format!(
            "backend {} runs {id}, deadline-ms {deadline}: half of the answer now, half after {} s",
            run.backend,
            PAUSE.as_secs()
        ));
        Action::AnswerInHalves(PAUSE)
    });
    let route = Route {
        prefix: "/ledgers/".to_owned(),
        kind: "download",
        service: "ledgers",
        timeout_ms: TIMEOUT_MS,
        attempts: 3,
    };
    let mut world = World::start(&MACHINES, &[route], (SLOTS, LINK_MBPS), &behaviour)?;
    if trouble {
        world.fleet.change_settings(&world.network, RELOADED)?;
        record.log(&format!("the settings of machine {RELOADED} are changed, SIGHUP to its node"));
        world.fleet.signal(RELOADED, "HUP")?;
    }
    let (network, reloaded_at) = (world.network, record.now());
    let clients = (0..MACHINES.len() * REQUESTS).map(|number| {
        let record = record.clone();
        std::thread::spawn(move || {
            let machine = number % MACHINES.len();
            let id = format!("{:08x}{number:08x}", std::process::id());
            let request = Request {
                method: "GET",
                host: HOST.to_owned(),
                target: format!("/ledgers/{number}"),
                id: id.clone(),
                deadline: Duration::from_millis(TIMEOUT_MS.into()),
                body: Body::Empty,
            };
            record.log(&format!("{id} is sent to machine {machine}"));
            let is_planned = machine == RELOADED && record.now() - reloaded_at <= CONVERGE;
            let answer = call(network.at(machine, Port::Outbound), &request);
            let complete = answer.status == 200;
            let seen = if complete { "a complete answer" } else { "no complete answer" };
            let took = answer.took.as_secs_f64();
            record.log(&format!("{id} at machine {machine}: {seen} after {took:.2} s"));
            (is_planned, complete)
        })
    });
    let clients: Vec<_> = clients.collect();
    let results: Vec<(bool, bool)> =
        clients.into_iter().map(|client| client.join().expect("a client ends")).collect();
    world.check_running()?;
    let all = results.iter().filter(|(_, complete)| !complete).count();
    let cut = results.iter().filter(|(is_planned, complete)| *is_planned && !complete).count();
    // Without SIGHUP there is no planned work, to which the rule is bound.
    let counted = if trouble { cut } else { 0 };
    record.log(&format!(
        "answers cut at any machine: {all} of {}; around planned work: {counted}, allowed 0",
        results.len()
    ));
    Ok(counted == 0)
}
