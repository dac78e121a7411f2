//! Property test of a complete node under random inputs, including unsolicited replies,
//! contradictory peer messages and completions of unknown calls.

use proptest::prelude::*;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::sync::Arc;
use std::time::Duration;
use sycamore_core::call::note::{self, HomeList, ListId, Unreleased};
use sycamore_core::call::{
    CallKey, Fingerprint, Load, Note, Pace, RequestKey, Runs, entry, gatekeeper,
};
use sycamore_core::config::{InForce, ResourceId, ResourceKind};
use sycamore_core::hash::Hash;
use sycamore_core::member::{Member, VmState};
use sycamore_core::node::{Input, Node, Output};
use sycamore_core::place::Place;
use sycamore_core::spread::message::{
    Base, Delta, ListVersion, Ping, PingKind, Pong, Pull, StateReport, Summary, ZoneList, ZonesList,
};
use sycamore_core::spread::port::{CallId, Config, Peer, SourceReply, SourceValue};
use sycamore_core::spread::{self, PeerMsg};
use sycamore_core::{Code, Name, Time};

const START: Time = Time(1_000_000_000_000_000);
const VMS: [&str; 4] = ["a", "b", "c", "d"];
const ZONES: [&str; 3] = ["z", "y", "x"];

/// Maximum number of outputs from one input. More indicate a feedback loop.
const MAX_OUTPUTS: usize = 1_000;

/// Initial steps in which the platform responds to every call.
const WARM_UP_STEPS: usize = 100;

/// Generates inputs from a small set of names and numbers, so that collisions are likely.
struct InputGenerator(Pcg64Mcg);

impl InputGenerator {
    fn choose<T: Copy>(&mut self, choices: &[T]) -> T {
        *choices.choose(&mut self.0).unwrap()
    }

    fn flag(&mut self) -> bool {
        self.0.random()
    }

    fn number(&mut self) -> u64 {
        if self.0.random_range(0..20) == 0 { self.0.random() } else { self.0.random_range(0..6) }
    }

    fn vec_of<T>(&mut self, generator: impl Fn(&mut InputGenerator) -> T) -> Vec<T> {
        (0..self.0.random_range(0..4)).map(|_| generator(self)).collect()
    }

    fn option_of<T>(&mut self, generator: impl Fn(&mut InputGenerator) -> T) -> Option<T> {
        self.flag().then(|| generator(self))
    }

    fn vm(&mut self) -> Name {
        Name::new(self.choose(&VMS)).unwrap()
    }

    fn place(&mut self) -> Place {
        let zone = self.choose(&ZONES);
        Place { region: Name::new("r").unwrap(), zone: Name::new(zone).unwrap() }
    }

    fn state(&mut self) -> VmState {
        self.choose(&[VmState::Live, VmState::Leaving, VmState::Gone])
    }

    fn address(&mut self) -> std::net::SocketAddr {
        ([127, 0, 0, 1], self.0.random_range(1..6)).into()
    }

    fn hash(&mut self) -> Hash {
        Hash::of(&[self.0.random_range(0..4u8)])
    }

    fn preset(&mut self) -> String {
        let targets: Vec<String> = VMS[..self.0.random_range(1..=VMS.len())]
            .iter()
            .map(|vm| {
                format!(
                    r#"{{"vm":"{vm}","region":"r","zone":"z","gate":"127.0.0.1:1",
                    "peers":"127.0.0.1:2"}}"#
                )
            })
            .collect();
        let service = self.choose(&["s", "s", "s", "missing"]);
        format!(
            r#"{{"name":"p","services":{{"s":{{"targets":[{}]}}}},"routes":{{
            "i":{{"path_prefix":"/i","service":"{service}","idempotent":true}},
            "o":{{"path_prefix":"/o","service":"s","idempotent":false}}}}}}"#,
            targets.join(",")
        )
    }

    fn in_force(&mut self) -> InForce {
        let preset = Name::new("p").unwrap();
        InForce { version: self.number(), preset, digest: self.hash() }
    }

    fn summary(&mut self) -> Summary {
        Summary {
            in_force: self.in_force(),
            manifest_digest: self.hash(),
            store_age_ms: None,
            store_revision: 0,
        }
    }

    fn state_report(&mut self) -> StateReport {
        StateReport {
            vm: self.vm(),
            incarnation: START.0.saturating_add(self.number()),
            state: self.state(),
        }
    }

    fn base(&mut self) -> Base {
        Base { version: self.number(), digest: self.hash() }
    }

    fn member(&mut self) -> Member {
        let Place { region, zone } = self.place();
        let (peers, admin) = (self.address(), self.address());
        Member { vm: self.vm(), region, zone, peers, admin, state: self.state() }
    }

    fn resource(&mut self) -> ResourceId {
        let kind =
            self.choose(&[ResourceKind::Service, ResourceKind::Targets, ResourceKind::Route]);
        ResourceId { kind, name: Name::new(self.choose(&["s", "i", "o"])).unwrap() }
    }

    fn list(&mut self) -> HomeList {
        HomeList { version: self.number(), vms: self.vec_of(InputGenerator::vm) }
    }

    fn key(&mut self) -> RequestKey {
        RequestKey { high: (START.as_millis() + self.number()) << 16, low: self.number() }
    }

    fn note(&mut self) -> Note {
        match self.0.random_range(0..5) {
            0 => Note::AskRelease(Box::new(note::ReleaseRequest {
                id: self.number(),
                service: Name::new("s").unwrap(),
                list: self.list().digest(),
                since: self.option_of(|generator| ListId {
                    version: generator.number(),
                    digest: generator.hash(),
                }),
                left: self.vec_of(InputGenerator::vm),
            })),
            1 => Note::Released(Box::new(note::ReleaseResponse {
                id: self.number(),
                part: self.number() as u32,
                parts: self.number() as u32,
                keys: self.vec_of(InputGenerator::key),
                fence: START + Duration::from_millis(self.number()),
                lists: self.vec_of(InputGenerator::list),
                unreleased: self.vec_of(|generator| Unreleased {
                    vm: generator.vm(),
                    list: generator.option_of(InputGenerator::list),
                }),
                left: self.flag(),
            })),
            2 => Note::Leaving,
            3 => Note::Suspect {
                crash: self.number(),
                fingerprints: self.vec_of(|generator| Fingerprint(generator.number())),
            },
            _ => Note::Cleared { fingerprint: Fingerprint(self.number()) },
        }
    }

    fn message(&mut self) -> PeerMsg {
        match self.0.random_range(0..10) {
            0 => PeerMsg::Ping(Box::new(Ping {
                seq: self.number() as u32,
                kind: self.choose(&[PingKind::Join, PingKind::Attach, PingKind::Compare]),
                report: self.state_report(),
                have: self.option_of(InputGenerator::summary),
                zones: self.number(),
                lists: self.option_of(|generator| {
                    generator.vec_of(|generator| ListVersion {
                        zone: generator.place().zone,
                        index: generator.number(),
                    })
                }),
            })),
            1 | 2 => PeerMsg::Pong(Box::new(Pong {
                seq: self.number() as u32,
                attached: self.flag(),
                hops: self.number() as u8,
                report: self.state_report(),
                have: self.option_of(InputGenerator::summary),
                floor: self.option_of(InputGenerator::in_force),
                reports: self.vec_of(InputGenerator::state_report),
            })),
            3 => PeerMsg::Notice(Box::new(self.summary())),
            4 => PeerMsg::Pull(Box::new(Pull {
                version: self.number(),
                base: self.option_of(InputGenerator::base),
                scope: self.option_of(|generator| generator.vec_of(|_| Name::new("s").unwrap())),
            })),
            5 => PeerMsg::Delta(Arc::new(Delta {
                summary: self.summary(),
                base: self.option_of(InputGenerator::base),
                changed: self.vec_of(|generator| (generator.resource(), generator.preset().into())),
                removed: self.vec_of(InputGenerator::resource),
                digest: self.hash(),
            })),
            6 => PeerMsg::Missing(self.number()),
            7 => PeerMsg::StateReports(self.vec_of(InputGenerator::state_report)),
            8 => PeerMsg::Lists(self.vec_of(|generator| {
                let vms = generator.vec_of(InputGenerator::member);
                Arc::new(ZoneList { place: generator.place(), index: generator.number(), vms })
            })),
            _ => PeerMsg::Zones(Arc::new(ZonesList {
                index: self.number(),
                zones: self.vec_of(InputGenerator::place),
            })),
        }
    }

    /// A platform value for `key`: usually valid, sometimes missing or malformed.
    fn value(&mut self, key: &str, body: &str) -> Option<String> {
        let digest = Hash::of(body.as_bytes());
        match key {
            "in-force" => {
                Some(format!(r#"{{"version":{},"preset":"p","digest":"{digest}"}}"#, self.number()))
            }
            "preset/p" if self.0.random_range(0..8) > 0 => Some(body.to_owned()),
            "zones" => Some(r#"{"zones":[{"region":"r","zone":"z"}]}"#.to_owned()),
            "vms/z" => Some(r#"{"vms":[]}"#.to_owned()),
            _ => self.flag().then(|| "{".to_owned()),
        }
    }

    fn reply(&mut self, platform_calls: &[(CallId, String)], body: &str) -> SourceReply {
        // Older calls have usually timed out.
        let recent = &platform_calls[platform_calls.len().saturating_sub(3)..];
        let known = recent.choose(&mut self.0).cloned();
        let unknown = (CallId(self.number()), "else".to_owned());
        let (id, key) = known.filter(|_| self.0.random_range(0..8) > 0).unwrap_or(unknown);
        let codes = [Code::SourceUnreachable, Code::SourceInvalid, Code::SourceOverLimit];
        let result = match self.0.random_range(0..6) {
            0 => Err(self.choose(&codes)),
            _ => Ok(SourceValue {
                index: self.number(),
                body: self.value(&key, body).map(Into::into),
            }),
        };
        SourceReply { id, result }
    }

    fn spread(&mut self, platform_calls: &[(CallId, String)], body: &str) -> spread::Input {
        match self.0.random_range(0..12) {
            0 => spread::Input::Start,
            1 | 2 => spread::Input::Wake,
            3..=6 => spread::Input::Source(self.reply(platform_calls, body)),
            7..=9 => {
                let from = Peer { vm: self.vm(), place: self.place(), address: self.address() };
                spread::Input::Peer { from, msg: self.message() }
            }
            10 => spread::Input::PeerFailed { to: self.address() },
            _ if self.0.random_range(0..40) == 0 => spread::Input::Stop,
            _ => spread::Input::Wake,
        }
    }

    fn entry(&mut self) -> entry::Input<'static> {
        let call = CallKey(self.number());
        let rejected = entry::AttemptEnd::Rejected {
            code: self.choose(Code::ALL),
            retry_after: Duration::from_millis(self.number()),
            load: None,
            crashes: self.number() as u32,
        };
        match self.0.random_range(0..9) {
            0..=2 => entry::Input::Arrive(entry::Arrival {
                host: "",
                call,
                path: self.choose(&["/i/1", "/o/1", "/", ""]),
                key: self.option_of(InputGenerator::key),
                timeout: self.option_of(|generator| Duration::from_millis(generator.number())),
                depth: self.number() as u8,
                body_bytes: self.option_of(InputGenerator::number),
                own_runs: Runs::default(),
            }),
            3 => entry::Input::Close(call),
            4 if self.flag() => entry::Input::HedgeDue(call),
            4 if self.flag() => {
                entry::Input::PrimaryEnded { call, end: entry::AttemptEnd::LostToHedge }
            }
            4 if self.flag() => entry::Input::HedgeEnded { call, end: Some(rejected) },
            4 => entry::Input::Expire { call, sent: self.flag() },
            5 => entry::Input::Attempt { call, end: rejected, replayable: self.flag() },
            6 => {
                let load = Some(Load {
                    in_flight: 1,
                    slots: self.number() as u32,
                    queued: 0,
                    wait_ms: 0,
                    run_ms: [0; 3],
                    pace: Pace::USUAL,
                    bulk_wait_ms: None,
                });
                let end = entry::AttemptEnd::ResponseStarted { load, waited: Duration::ZERO };
                entry::Input::Attempt { call, end, replayable: true }
            }
            _ => entry::Input::Attempt {
                call,
                end: entry::AttemptEnd::ConnectionLost,
                replayable: true,
            },
        }
    }

    fn gate<'a>(&mut self, from: &'a Name, note: &'a Note) -> gatekeeper::Input<'a> {
        let call = CallKey(self.number());
        let broken = gatekeeper::RunEnd::Broken { target_gone: self.flag() };
        match self.0.random_range(0..12) {
            0..=3 => gatekeeper::Input::Arrive(gatekeeper::Arrival {
                host: "",
                terms: None,
                call,
                path: self.choose(&["/i/1", "/o/1", "/"]),
                key: self.option_of(InputGenerator::key),
                digest: self.option_of(InputGenerator::hash),
                fingerprint: Fingerprint(self.number()),
                crashes: self.number() as u32,
                depth: self.number() as u8,
                deadline: START + Duration::from_millis(self.number() % 10_000),
                run_by: None,
                known_limit: None,
            }),
            4 => gatekeeper::Input::Expire(call),
            5 => gatekeeper::Input::Withdraw(call),
            6 => {
                gatekeeper::Input::End { call, end: gatekeeper::RunEnd::Answered { cached: None } }
            }
            7 => gatekeeper::Input::End { call, end: broken },
            8 => gatekeeper::Input::End { call, end: gatekeeper::RunEnd::Cancelled },
            9 => gatekeeper::Input::Note { from, note },
            10 => gatekeeper::Input::End { call, end: gatekeeper::RunEnd::BrokenResponse },
            _ => gatekeeper::Input::Tick,
        }
    }
}

fn config() -> Config {
    let name = |text: &'static str| Name::new(text).unwrap();
    Config {
        vm: name("a"),
        place: Place { region: name("r"), zone: name("z") },
        address: "127.0.0.1:2".parse().unwrap(),
        seeds: vec!["127.0.0.1:3".parse().unwrap()],
        scope: None,
        platform_region: None,
        fleet_vms: 4,
        first_configuration: Duration::from_secs(1),
    }
}

/// Platform calls and version observed from a node so far.
#[derive(Default)]
struct Observed {
    platform_calls: Vec<(CallId, String)>,
    version: u64,
}

impl Observed {
    /// Checks and records the outputs of one input.
    fn check_outputs(&mut self, out: &mut Vec<Output>) -> Result<(), TestCaseError> {
        prop_assert!(out.len() < MAX_OUTPUTS, "{} outputs", out.len());
        for output in out.drain(..) {
            match output {
                Output::Spread(spread::Output::ReadSource(call)) => {
                    self.platform_calls.push((call.id, call.key.to_string()));
                }
                Output::Spread(spread::Output::InForce(snapshot)) => {
                    prop_assert!(
                        snapshot.version() > self.version,
                        "not newer than {}",
                        self.version
                    );
                    self.version = snapshot.version();
                }
                Output::Entry(entry::Output::Forward(_))
                | Output::Gatekeeper(gatekeeper::Output::Run { .. }) => {
                    prop_assert!(self.version > 0)
                }
                _ => {}
            }
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against panics and version rollbacks caused by peers of another release, a faulty
    /// platform or an adapter that reports a completion twice.
    #[test]
    fn node_never_panics_nor_goes_back(seed in any::<u64>(), steps in 1..400usize) {
        let mut generator = InputGenerator(Pcg64Mcg::seed_from_u64(seed));
        let (mut node, mut now) = (Node::new(config(), START, seed), START);
        let (mut observed, mut out) = (Observed::default(), Vec::new());
        let body = generator.preset();
        node.handle(now, Input::Spread(spread::Input::Start), &mut out);
        // Start with a working platform, so that most cases run on a configured node.
        for _ in 0..generator.choose(&[0, WARM_UP_STEPS]) {
            observed.check_outputs(&mut out)?;
            now = now + Duration::from_millis(20);
            for (id, key) in std::mem::take(&mut observed.platform_calls) {
                let body = generator.value(&key, &body).map(Into::into);
                let result = Ok(SourceValue { index: 1, body });
                let reply = spread::Input::Source(SourceReply { id, result });
                node.handle(now, Input::Spread(reply), &mut out);
            }
            node.handle(now, Input::Spread(spread::Input::Wake), &mut out);
        }
        for _ in 0..steps {
            observed.check_outputs(&mut out)?;
            now = now + Duration::from_millis(generator.choose(&[0, 0, 1, 1, 40, 40, 40, 700, 5_000]));
            let (from, note) = (generator.vm(), generator.note());
            let input = match generator.0.random_range(0..4) {
                0 | 1 => Input::Spread(generator.spread(&observed.platform_calls, &body)),
                2 => Input::Entry(generator.entry()),
                _ => Input::Gatekeeper(generator.gate(&from, &note)),
            };
            node.handle(now, input, &mut out);
        }
        observed.check_outputs(&mut out)?;
    }
}
