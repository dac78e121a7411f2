//! Random operations and faults in a small fleet. Every node must end with the latest valid
//! version, and never with mixed content.

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{Fleet, preset};
use proptest::prelude::*;
use std::time::Duration;
use sycamore_core::Name;

const ZONES: usize = 4;
const PER_ZONE: usize = 3;
const NODES: usize = ZONES * PER_ZONE;

#[derive(Clone, Debug)]
enum Op {
    Publish,
    PublishInvalid,
    PublishWithoutBody,
    PublishOlder,
    Kill(usize),
    Start(usize),
    Pause(usize),
    Resume(usize),
    CutZone(usize),
    CutPlatform(usize),
    PlatformDown,
    PlatformUp,
    Heal,
    Run(u64),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        4 => Just(Op::Publish),
        1 => Just(Op::PublishInvalid),
        1 => Just(Op::PublishWithoutBody),
        1 => Just(Op::PublishOlder),
        3 => (0..NODES).prop_map(Op::Kill),
        3 => (0..NODES).prop_map(Op::Start),
        2 => (0..NODES).prop_map(Op::Pause),
        2 => (0..NODES).prop_map(Op::Resume),
        2 => (0..ZONES).prop_map(Op::CutZone),
        1 => (0..ZONES).prop_map(Op::CutPlatform),
        1 => Just(Op::PlatformDown),
        1 => Just(Op::PlatformUp),
        2 => Just(Op::Heal),
        8 => (1..8_000u64).prop_map(Op::Run),
    ]
}

/// A fleet and the state expected of it.
struct TrackedFleet {
    fleet: Fleet,
    /// The last version number published.
    last_version: u64,
    /// Number of versions already checked, by node.
    checked: Vec<usize>,
    /// Index of the first version of each node's current process.
    life_start: Vec<usize>,
}

impl TrackedFleet {
    fn new() -> TrackedFleet {
        let mut fleet = Fleet::new(ZONES, PER_ZONE);
        fleet.publish(1, &preset(1));
        fleet.start_all();
        fleet.run(Duration::from_secs(8));
        TrackedFleet { fleet, last_version: 1, checked: vec![0; NODES], life_start: vec![0; NODES] }
    }

    fn apply(&mut self, op: &Op) {
        let fleet = &mut self.fleet;
        match *op {
            Op::Publish => {
                self.last_version += 1;
                fleet.publish(self.last_version, &preset(self.last_version as u32));
            }
            Op::PublishInvalid => {
                self.last_version += 1;
                let body = preset(self.last_version as u32);
                fleet.publish(
                    self.last_version,
                    &body.replace(r#""service":"maps""#, r#""service":"x""#),
                );
            }
            Op::PublishWithoutBody => {
                self.last_version += 1;
                fleet.set_in_force(&fleet::publication(
                    self.last_version,
                    &preset(self.last_version as u32),
                ));
            }
            Op::PublishOlder => {
                let older = self.last_version.saturating_sub(1).max(1);
                fleet.publish(older, &preset(older as u32));
            }
            Op::Kill(node) => fleet.kill(node),
            Op::Start(node) if fleet.nodes[node].spread.is_none() => {
                self.life_start[node] = fleet.nodes[node].in_force.len();
                fleet.start(node);
            }
            Op::Pause(node) => fleet.pause(node),
            Op::Resume(node) if fleet.nodes[node].paused => fleet.resume(node),
            Op::CutZone(zone) => {
                let zone = fleet.nodes[zone * PER_ZONE].cfg.place.zone.clone();
                fleet.partition_zones(&[zone.as_str()]);
            }
            Op::CutPlatform(zone) => {
                let zone: Name = fleet.nodes[zone * PER_ZONE].cfg.place.zone.clone();
                fleet.platform.unreachable_from.push(zone);
            }
            Op::PlatformDown => fleet.platform_down(true),
            Op::PlatformUp => fleet.platform_down(false),
            Op::Heal => fleet.heal(),
            Op::Run(ms) => fleet.run(Duration::from_millis(ms)),
            Op::Start(_) | Op::Resume(_) => {}
        }
        self.check();
    }

    /// Asserts the invariants that hold at all times.
    fn check(&mut self) {
        for (node, sim) in self.fleet.nodes.iter().enumerate() {
            let versions: Vec<u64> =
                sim.in_force[self.life_start[node]..].iter().map(|s| s.version()).collect();
            assert!(
                versions.is_sorted(),
                "{} went back to an older version: {versions:?}",
                sim.cfg.vm
            );
            for snapshot in &sim.in_force[self.checked[node]..] {
                let slots = snapshot.services().iter().map(|service| service.limits.slots);
                let version = snapshot.version() as u32;
                let mut slots: Vec<u32> = slots.collect();
                slots.sort();
                let mut expected = [version % 100 + 1, 12];
                expected.sort();
                assert_eq!(
                    slots, expected,
                    "{} has mixed content in version {version}",
                    sim.cfg.vm
                );
                assert_eq!(snapshot.routes().len(), 2);
            }
            self.checked[node] = sim.in_force.len();
        }
    }

    /// Ends all faults, publishes once more and asserts that all nodes converge.
    fn settle(&mut self) {
        self.fleet.heal();
        self.fleet.platform_down(false);
        for node in 0..NODES {
            self.apply(&Op::Resume(node));
            self.apply(&Op::Start(node));
        }
        self.apply(&Op::Run(12_000));
        self.apply(&Op::Publish);
        self.apply(&Op::Run(3_000));
        assert_eq!(self.fleet.versions(), vec![self.last_version; NODES]);
        assert!(self.fleet.platform.peak_calls_per_second() < 500);
    }
}

/// Runs a small number of cases by default; `PROPTEST_CASES` sets another number and
/// `PROPTEST_RNG_SEED` makes a run repeatable.
fn config() -> ProptestConfig {
    let more = std::env::var_os("PROPTEST_CASES").is_some();
    let cases = if more { ProptestConfig::default().cases } else { 24 };
    let failure_persistence = None;
    ProptestConfig { cases, max_shrink_iters: 400, failure_persistence, ..Default::default() }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn spread_against_naive(ops in prop::collection::vec(op(), 1..40)) {
        let mut fleet = TrackedFleet::new();
        for op in &ops {
            fleet.apply(op);
        }
        fleet.settle();
    }
}
