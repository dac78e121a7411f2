//! Single and combined faults of nodes, links and the platform in a small fleet.

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{Fleet, SimNode, preset};
use std::sync::Arc;
use std::time::Duration;
use sycamore_core::Code;
use sycamore_core::event::EventKind;
use sycamore_core::member::VmState;
use sycamore_core::spread::{Input, PeerMsg};
use sycamore_core::status::Role;

const SECOND: Duration = Duration::from_secs(1);

fn settled(zones: usize, per_zone: usize) -> Fleet {
    let mut fleet = Fleet::new(zones, per_zone);
    fleet.publish(1, &preset(1));
    fleet.start_all();
    fleet.run(10 * SECOND);
    assert_eq!(fleet.versions(), vec![1; zones * per_zone]);
    fleet
}

fn role(sim: &SimNode) -> Role {
    sim.spread.as_ref().unwrap().topology().role
}

fn nodes_with(fleet: &Fleet, predicate: impl Fn(&SimNode) -> bool) -> Vec<usize> {
    (0..fleet.nodes.len()).filter(|node| predicate(&fleet.nodes[*node])).collect()
}

#[test]
fn source_down_then_back() {
    // Nodes must not poll more often during a platform outage, and must catch up once it is over.
    let mut fleet = settled(6, 3);
    fleet.platform.calls.clear();
    fleet.platform_down(true);
    fleet.run(60 * SECOND);
    assert!(
        fleet.platform.peak_calls_per_second() < 60,
        "{} calls in a second",
        fleet.platform.peak_calls_per_second()
    );
    fleet.publish(2, &preset(2));
    fleet.platform_down(false);
    fleet.run(3 * SECOND);
    assert_eq!(fleet.versions(), vec![2; 18]);
}

#[test]
fn source_silent_then_back() {
    // The platform accepts calls but never responds. Without a timeout, nodes would hear of no
    // version after it recovers.
    let mut fleet = settled(6, 3);
    fleet.platform_silent(true);
    fleet.run(60 * SECOND);
    assert_eq!(fleet.versions(), vec![1; 18]);
    fleet.publish(2, &preset(2));
    fleet.platform_silent(false);
    fleet.run(10 * SECOND);
    assert_eq!(fleet.versions(), vec![2; 18]);
}

/// Guards against a version late because the platform's response was lost, at any moment of the
/// cycle of calls.
#[test]
fn source_silent_briefly() {
    for phase in 0..24 {
        let mut fleet = settled(6, 3);
        fleet.run(Duration::from_millis(130 * phase));
        fleet.platform_silent(true);
        fleet.run(Duration::from_millis(300));
        fleet.platform_silent(false);
        fleet.publish(2, &preset(2));
        fleet.run(3 * SECOND);
        assert_eq!(fleet.versions(), vec![2; 18], "phase {phase}");
    }
}

#[test]
fn herd_of_a_zone_returns() {
    // All VMs of a zone restart while the platform is down. They must get the version from other
    // zones through their seeds.
    let mut fleet = settled(6, 3);
    let zone = nodes_with(&fleet, |sim| sim.cfg.place.zone.as_str() == "c");
    let seed = fleet.nodes[0].cfg.address;
    for node in &zone {
        fleet.nodes[*node].cfg.seeds = vec![seed];
        fleet.kill(*node);
    }
    fleet.platform_down(true);
    fleet.run(5 * SECOND);
    for node in &zone {
        fleet.start(*node);
    }
    fleet.run(3 * SECOND);
    assert_eq!(fleet.versions(), vec![1; 18]);
}

#[test]
fn herd_of_all_relays_of_a_region() {
    // All readers and relays of a region fail while the VM list still names them. Leaves must still
    // receive the next version within seconds.
    let mut fleet = settled(4, 6);
    let relays =
        nodes_with(&fleet, |sim| sim.cfg.place.region.as_str() == "r2" && role(sim) != Role::Leaf);
    for node in &relays {
        fleet.kill(*node);
    }
    fleet.run(2 * SECOND);
    fleet.publish(2, &preset(2));
    fleet.run(3 * SECOND);
    assert!(fleet.versions().iter().all(|version| *version == 2), "{:?}", fleet.versions());
}

#[test]
fn herd_of_everything_returns() {
    // The whole fleet restarts without any state. Platform calls must stay well below its limit.
    let mut fleet = settled(10, 12);
    for node in 0..120 {
        fleet.kill(node);
    }
    fleet.run(SECOND);
    fleet.platform.calls.clear();
    fleet.start_all();
    fleet.run(5 * SECOND);
    assert_eq!(fleet.versions(), vec![1; 120]);
    assert!(
        fleet.platform.peak_calls_per_second() < 1_000,
        "{} calls in a second",
        fleet.platform.peak_calls_per_second()
    );
}

#[test]
fn zone_cut_from_others_reads_platform() {
    // A zone without a reader loses all links to other zones. Its relays must read the platform
    // themselves.
    let mut fleet = Fleet::with_regions(6, 3, 3);
    fleet.publish(1, &preset(1));
    fleet.start_all();
    fleet.run(10 * SECOND);
    let reads = |zone: &&str| {
        let reader =
            |sim: &SimNode| sim.cfg.place.zone.as_str() == *zone && role(sim) == Role::RegionReader;
        !nodes_with(&fleet, reader).is_empty()
    };
    let zone = *["d", "e", "f"].iter().find(|zone| !reads(zone)).unwrap();
    fleet.platform.calls.clear();
    fleet.partition_zones(&[zone]);
    fleet.run(10 * SECOND);
    fleet.publish(2, &preset(2));
    fleet.run(3 * SECOND);
    assert_eq!(fleet.versions(), vec![2; 18]);
    assert!(
        fleet.platform.peak_calls_per_second() < 100,
        "{} calls in a second",
        fleet.platform.peak_calls_per_second()
    );
}

#[test]
fn zone_cut_from_platform_hears_through_others() {
    // A zone that cannot reach the platform must receive versions through readers in other zones.
    for zone in ["a", "b", "c"] {
        let mut fleet = settled(6, 3);
        fleet.platform.unreachable_from = vec![fleet::name(zone)];
        fleet.platform_down(true);
        fleet.run(SECOND);
        fleet.platform_down(false);
        fleet.run(5 * SECOND);
        fleet.publish(2, &preset(2));
        fleet.run(SECOND / 4);
        assert_eq!(fleet.versions(), vec![2; 18], "zone {zone} isolated from the platform");
    }
}

#[test]
fn zone_cut_from_all_heals() {
    // A fully isolated zone must keep its version, and catch up within three seconds after the
    // partition heals.
    let mut fleet = settled(6, 3);
    fleet.partition_zones(&["c"]);
    fleet.platform.unreachable_from = vec![fleet::name("c")];
    fleet.platform_down(true);
    fleet.run(SECOND / 10);
    fleet.platform_down(false);
    fleet.run(30 * SECOND);
    fleet.publish(2, &preset(2));
    fleet.run(15 * SECOND);
    fleet.publish(3, &preset(3));
    fleet.run(15 * SECOND);
    for node in 0..18 {
        let cut = fleet.nodes[node].cfg.place.zone.as_str() == "c";
        assert_eq!(fleet.version(node), if cut { 1 } else { 3 });
    }
    fleet.heal();
    fleet.run(3 * SECOND);
    assert_eq!(fleet.versions(), vec![3; 18]);
    fleet.assert_versions_never_decrease();
}

#[test]
fn restart_into_stale_zone_keeps_floor() {
    // A node restarts in a partitioned zone whose platform replica shows version 1 while its
    // neighbours hold version 2. Its VM must not go back to 1.
    let mut fleet = settled(2, 6);
    fleet.publish(2, &preset(2));
    fleet.run(3 * SECOND);
    // The platform responds long before the neighbours do.
    fleet.latency = SECOND / 10;
    fleet.partition_zones(&["a"]);
    fleet.publish(1, &preset(1));
    for node in nodes_with(&fleet, |sim| sim.cfg.place.zone.as_str() == "a") {
        fleet.kill(node);
        fleet.run(SECOND);
        fleet.start(node);
        fleet.run(10 * SECOND);
        assert_eq!(fleet.version(node), 2);
    }
    fleet.assert_versions_never_decrease();
}

#[test]
fn restart_keeps_floor_that_only_a_neighbour_remembers() {
    // A node restarts while only one neighbour remembers that its VM confirmed version 2; all
    // others hold 1. It must not put version 1 into force.
    let mut fleet = settled(1, 2);
    let (old, new) = (0, 1);
    let have = {
        let mut other = Fleet::new(1, 1);
        other.publish(2, &preset(2));
        other.start_all();
        other.run(10 * SECOND);
        other.nodes[0].spread.as_ref().unwrap().store().unwrap().summary().clone()
    };
    let ping = |fleet: &Fleet| {
        let cfg = &fleet.nodes[new].cfg;
        let from = sycamore_core::spread::Peer {
            vm: cfg.vm.clone(),
            place: cfg.place.clone(),
            address: cfg.address,
        };
        let report = sycamore_core::spread::StateReport {
            vm: cfg.vm.clone(),
            incarnation: u64::MAX / 2,
            state: VmState::Live,
        };
        let ping = sycamore_core::spread::message::Ping {
            seq: 0,
            kind: sycamore_core::spread::message::PingKind::Compare,
            report,
            have: Some(have.clone()),
            zones: 1_000,
            lists: None,
        };
        Input::Peer { from, msg: PeerMsg::Ping(Box::new(ping)) }
    };
    fleet.kill(new);
    let ping = ping(&fleet);
    fleet.input(old, ping);
    fleet.run(SECOND);
    let before = fleet.nodes[new].in_force.len();
    fleet.start(new);
    fleet.run(20 * SECOND);
    assert_eq!(
        fleet.nodes[new].in_force.len(),
        before,
        "the older version from the platform was put into force"
    );
    fleet.publish(3, &preset(3));
    fleet.run(3 * SECOND);
    assert_eq!(fleet.versions(), vec![3; 2]);
}

#[test]
fn pause_wakes_as_relay() {
    // A reader resumes after a pause of 30 s. It must not serve its old version before it has asked
    // its peers.
    let mut fleet = settled(4, 4);
    let reader = nodes_with(&fleet, |sim| role(sim) == Role::RegionReader)[0];
    fleet.pause(reader);
    fleet.run(10 * SECOND);
    fleet.publish(2, &preset(2));
    fleet.run(20 * SECOND);
    for node in (0..16).filter(|node| *node != reader) {
        assert_eq!(fleet.version(node), 2);
    }
    fleet.resume(reader);
    assert_eq!(fleet.count(reader, EventKind::ClockGap, None), 1);
    fleet.run(3 * SECOND);
    assert_eq!(fleet.versions(), vec![2; 16]);
    fleet.assert_versions_never_decrease();
}

#[test]
fn pause_of_a_relay_loses_no_version() {
    // Relays pause just before a publish without closing connections. Their children must detect
    // this by missing answers.
    let mut fleet = settled(4, 4);
    for relay in nodes_with(&fleet, |sim| role(sim) == Role::ZoneRelay) {
        fleet.pause(relay);
    }
    fleet.publish(2, &preset(2));
    fleet.run(3 * SECOND);
    for node in nodes_with(&fleet, |sim| !sim.paused) {
        assert_eq!(fleet.version(node), 2, "{}", fleet.nodes[node].cfg.vm);
    }
}

#[test]
fn list_names_dead_and_misses_new() {
    // The VM list still names replaced VMs and none of the new ones. All nodes must find live
    // parents.
    let mut fleet = Fleet::new(2, 12);
    let places: Vec<_> = [0, 12].map(|node| fleet.nodes[node].cfg.place.clone()).into();
    let number = |vm: &sycamore_core::Name| vm.as_str()[2..].parse::<u32>().unwrap();
    for place in &places {
        fleet.publish_vm_list(place, |vm| (number(vm) < 8).then_some(VmState::Live));
    }
    fleet.publish(1, &preset(1));
    for node in 0..24 {
        if number(&fleet.nodes[node].cfg.vm.clone()) < 8 {
            fleet.start(node);
        }
    }
    fleet.run(10 * SECOND);
    for node in 0..24 {
        match number(&fleet.nodes[node].cfg.vm.clone()) {
            0..4 => fleet.kill(node),
            8.. => fleet.start(node),
            _ => {}
        }
    }
    fleet.run(10 * SECOND);
    fleet.publish(2, &preset(2));
    fleet.run(3 * SECOND);
    assert_eq!(fleet.versions(), vec![2; 16]);
}

#[test]
fn relay_accepts_and_never_answers() {
    // A relay accepts messages but never answers. Its children must switch to another parent within
    // a second.
    let mut fleet = settled(2, 12);
    let top = nodes_with(&fleet, |sim| role(sim) == Role::RegionReader)[0];
    let silent = fleet.nodes[top].cfg.vm.clone();
    let below = nodes_with(&fleet, |sim| {
        sim.spread.as_ref().unwrap().parent().is_some_and(|parent| parent.vm == silent)
    });
    assert!(below.len() > 8);
    fleet.filter = Box::new(move |from, _, msg| (from.cfg.vm != silent).then(|| msg.clone()));
    fleet.run(4 * SECOND);
    fleet.publish(2, &preset(2));
    fleet.run(SECOND / 2);
    for node in below {
        assert_eq!(fleet.version(node), 2, "{}", fleet.nodes[node].cfg.vm);
    }
}

#[test]
fn peer_sends_wrong_content() {
    // A relay alters a resource in transit. The delta must be rejected, reported, and fetched from
    // another peer.
    let mut fleet = settled(2, 6);
    // In a zone this small, all leaves attach to the first VM, which is also a reader.
    let relays = nodes_with(&fleet, |sim| role(sim) == Role::RegionReader)[..1].to_vec();
    let broken: Vec<_> = relays.iter().map(|node| fleet.nodes[*node].cfg.vm.clone()).collect();
    fleet.filter = Box::new(move |from, _, msg| match msg {
        PeerMsg::Delta(delta) if broken.contains(&from.cfg.vm) => {
            let mut delta = delta.as_ref().clone();
            for (_, body) in &mut delta.changed {
                let text = String::from_utf8(body.to_vec()).unwrap();
                *body = text.replace(r#""slots":3"#, r#""slots":4"#).into();
            }
            Some(PeerMsg::Delta(Arc::new(delta)))
        }
        msg => Some(msg.clone()),
    });
    fleet.publish(2, &preset(2));
    fleet.run(SECOND);
    assert_eq!(fleet.versions(), vec![2; 12]);
    for sim in &fleet.nodes {
        let snapshot = sim.in_force.last().unwrap();
        assert!(snapshot.services().iter().all(|service| [3, 12].contains(&service.limits.slots)));
    }
    let reported = (0..12)
        .map(|n| fleet.count(n, EventKind::VersionRefused, Some(Code::PeerHashMismatch)))
        .sum::<usize>();
    assert!(reported > 0, "no node reported the corrupted delta");
}

#[test]
fn leaving_is_known_in_seconds() {
    // A node reports that it is leaving while the VM list still says live. Peers must believe the
    // node's own report, or they would keep sending it work.
    let mut fleet = settled(6, 3);
    let leaving = fleet.index("d-1");
    fleet.input(leaving, Input::Stop);
    fleet.run(2 * SECOND);
    let vm = fleet.nodes[leaving].cfg.vm.clone();
    for sim in fleet.nodes.iter().filter(|sim| sim.cfg.vm != vm) {
        assert_eq!(sim.members.get(&vm), Some(&VmState::Leaving), "{}", sim.cfg.vm);
    }
    // After a restart, the newer report must supersede the old one although the list has not
    // changed.
    fleet.kill(leaving);
    fleet.run(SECOND);
    fleet.start(leaving);
    fleet.run(4 * SECOND);
    for sim in &fleet.nodes {
        assert_eq!(sim.members.get(&vm), None, "{}", sim.cfg.vm);
    }
}

/// Guards against a node that its peers take for leaving for as long as they run, since it restarted
/// after its clock was set back.
#[test]
fn restart_with_earlier_clock() {
    for pause in [SECOND, 30 * SECOND] {
        let mut fleet = settled(6, 3);
        let node = fleet.index("d-1");
        let vm = fleet.nodes[node].cfg.vm.clone();
        fleet.input(node, Input::Stop);
        fleet.run(2 * SECOND);
        fleet.kill(node);
        fleet.run(pause);
        fleet.nodes[node].clock_behind = 60 * SECOND;
        fleet.start(node);
        fleet.run(10 * SECOND);
        for sim in &fleet.nodes {
            assert_eq!(sim.members.get(&vm), None, "{} after {pause:?}", sim.cfg.vm);
        }
    }
}

#[test]
fn herd_of_all_relays_of_a_region_reads_few_bodies() {
    // All relays of a region with large zones fail. Nodes must share the body instead of each
    // reading it over a cross-region link billed by volume.
    let mut fleet = settled(4, 40);
    let relays =
        nodes_with(&fleet, |sim| sim.cfg.place.region.as_str() == "r2" && role(sim) != Role::Leaf);
    for node in &relays {
        fleet.kill(*node);
    }
    fleet.run(5 * SECOND);
    fleet.platform.calls.clear();
    fleet.publish(2, &preset(2));
    fleet.run(3 * SECOND);
    assert!(fleet.versions().iter().all(|version| *version == 2), "{:?}", fleet.versions());
    let bodies = fleet.platform.calls.iter().filter(|(_, key)| key.starts_with("preset/")).count();
    println!("{bodies} bodies read");
    assert!(bodies < 30, "{bodies} bodies read");
}
