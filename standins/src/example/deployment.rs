//! The two deployments: their zones, services, VMs and addresses.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use sycamore_core::config::Class;

/// Port of a node for callers.
pub const CALLS_PORT: u16 = 7000;
/// Port of a node for other nodes' forwarded calls.
pub const GATE_PORT: u16 = 7001;
/// Port of a node for messages from peers.
pub const PEERS_PORT: u16 = 7002;
/// Port of a node for operators.
pub const ADMIN_PORT: u16 = 7003;
/// Port of a target.
pub const TARGET_PORT: u16 = 7010;
/// Port of the platform.
pub const PLATFORM_PORT: u16 = 7080;
/// Port of the stand-ins that tests drive them by.
pub const CONTROL_PORT: u16 = 7081;

/// A route as the users' mix needs it, before a preset changes it.
#[derive(Clone, Copy, Debug)]
pub struct RouteRow {
    /// Its name, and its path after the `/`.
    pub name: &'static str,
    /// The service that answers.
    pub service: &'static str,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Its order of admission.
    pub class: Class,
    /// Its deadline on ordinary days, in milliseconds.
    pub deadline_ms: u32,
}

const FRANCHISE_OFFICE_ROUTES: [RouteRow; 5] = [
    route("contracts", "contract-lookup", true, Class::Interactive, 2_000),
    route("signings", "allotments", false, Class::Interactive, 5_000),
    route("grower-records", "allotments", true, Class::Gating, 1_500),
    route("ledgers", "ledgers", true, Class::Bulk, 10_000),
    route("stripping-schedules", "ledgers", true, Class::Gating, 1_500),
];

const COOPERATIVE_ROUTES: [RouteRow; 5] = [
    route("rosters", "roster", true, Class::Interactive, 8_000),
    route("enrolments", "enrolment", false, Class::Interactive, 6_000),
    route("member-standing", "enrolment", true, Class::Gating, 2_000),
    route("route-maps", "maps-and-kits", true, Class::Bulk, 10_000),
    route("tool-stock", "maps-and-kits", true, Class::Gating, 2_000),
];

const fn route(
    name: &'static str,
    service: &'static str,
    idempotent: bool,
    class: Class,
    deadline_ms: u32,
) -> RouteRow {
    RouteRow { name, service, idempotent, class, deadline_ms }
}

/// Host on which the platform answers a zone.
const PLATFORM_HOST: u8 = 250;
/// Host of the targets' control port.
const TARGETS_HOST: u8 = 251;

/// A deployment of the users.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Name of its directory.
    pub name: &'static str,
    /// Second number of its loopback addresses.
    pub network: u8,
    /// Its regions; each has two availability zones.
    pub regions: &'static [&'static str],
    /// Its services; each has one target in each zone.
    pub services: &'static [&'static str],
    /// Its routes.
    pub routes: &'static [RouteRow],
    /// Slots of each target.
    pub slots: u32,
    /// Connections of each target.
    pub connections: u32,
}

/// The Franchise Office.
pub const FRANCHISE_OFFICE: Deployment = Deployment {
    name: "franchise-office",
    network: 20,
    regions: &["alberta", "saskatchewan", "manitoba"],
    services: &["contract-lookup", "allotments", "ledgers"],
    routes: &FRANCHISE_OFFICE_ROUTES,
    slots: 12,
    connections: 110,
};

/// The Cooperative.
pub const COOPERATIVE: Deployment = Deployment {
    name: "cooperative",
    network: 30,
    regions: &["north-hills", "mid-plains", "delta"],
    services: &["roster", "enrolment", "maps-and-kits"],
    routes: &COOPERATIVE_ROUTES,
    slots: 18,
    connections: 110,
};

/// Availability zones of each region.
const ZONES_PER_REGION: u8 = 2;

/// A VM of a deployment.
#[derive(Clone, Debug)]
pub struct Vm {
    /// Its name.
    pub name: String,
    /// Its region.
    pub region: &'static str,
    /// Its availability zone.
    pub zone: String,
    /// Number of that zone, from 1.
    pub zone_number: u8,
    /// The service that its target runs.
    pub service: &'static str,
    /// Its address.
    pub ip: IpAddr,
}

impl Vm {
    /// One of its ports.
    pub fn socket_addr(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip, port)
    }
}

impl Deployment {
    /// Its availability zones, with their regions and numbers.
    pub fn zones(&self) -> Vec<(&'static str, String, u8)> {
        let mut zones = Vec::new();
        for &region in self.regions {
            for number in 1..=ZONES_PER_REGION {
                zones.push((region, format!("{region}-{number}"), zones.len() as u8 + 1));
            }
        }
        zones
    }

    /// Its VMs, by zone.
    pub fn vms(&self) -> Vec<Vm> {
        let mut vms = Vec::new();
        for (region, zone, zone_number) in self.zones() {
            for (index, &service) in self.services.iter().enumerate() {
                let host = index as u8 + 1;
                vms.push(Vm {
                    name: format!("{zone}-vm-{host}"),
                    region,
                    zone: zone.clone(),
                    zone_number,
                    service,
                    ip: self.ip(zone_number, host),
                });
            }
        }
        vms
    }

    /// Address on which the platform answers a zone.
    pub fn platform_address(&self, zone_number: u8) -> SocketAddr {
        SocketAddr::new(self.ip(zone_number, PLATFORM_HOST), PLATFORM_PORT)
    }

    /// Control port of the platform stand-in.
    pub fn platform_control(&self) -> SocketAddr {
        SocketAddr::new(self.ip(0, PLATFORM_HOST), CONTROL_PORT)
    }

    /// Control port of the target stand-ins.
    pub fn targets_control(&self) -> SocketAddr {
        SocketAddr::new(self.ip(0, TARGETS_HOST), CONTROL_PORT)
    }

    fn ip(&self, zone_number: u8, host: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.network, zone_number, host))
    }
}
