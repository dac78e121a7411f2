//! Topology of the two example deployments: zones, services, VMs and addresses.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use sycamore_core::config::Class;

/// Port on which a node serves callers.
pub const CALLS_PORT: u16 = 7000;
/// Port on which a node serves calls forwarded by other nodes.
pub const GATE_PORT: u16 = 7001;
/// Port on which a node receives messages from its peers.
pub const PEERS_PORT: u16 = 7002;
/// Port of a node's admin interface.
pub const ADMIN_PORT: u16 = 7003;
/// Port on which a target serves its node.
pub const TARGET_PORT: u16 = 7010;
/// Port on which the platform serves reads.
pub const PLATFORM_PORT: u16 = 7080;
/// Control port of the stand-ins.
pub const CONTROL_PORT: u16 = 7081;

/// A route of a deployment, before a preset adjusts its limits.
#[derive(Clone, Copy, Debug)]
pub struct RouteRow {
    /// Name of the route; its path prefix is `/` and the name.
    pub name: &'static str,
    /// Service that handles the requests.
    pub service: &'static str,
    /// Whether a request may be executed more than once.
    pub idempotent: bool,
    /// Admission priority.
    pub class: Class,
    /// Deadline in the preset `ordinary`, in milliseconds.
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

/// Last octet of the platform's addresses.
const PLATFORM_HOST: u8 = 250;
/// Last octet of the address of the targets' control port.
const TARGETS_HOST: u8 = 251;

/// An example deployment.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Name of the directory below `examples/`.
    pub name: &'static str,
    /// Second octet of the loopback addresses.
    pub network: u8,
    /// Regions; each has two availability zones.
    pub regions: &'static [&'static str],
    /// Services; each has one target in every zone.
    pub services: &'static [&'static str],
    pub routes: &'static [RouteRow],
    /// Concurrent requests that each target accepts.
    pub slots: u32,
    /// Connections that each target accepts.
    pub connections: u32,
}

pub const FRANCHISE_OFFICE: Deployment = Deployment {
    name: "franchise-office",
    network: 20,
    regions: &["alberta", "saskatchewan", "manitoba"],
    services: &["contract-lookup", "allotments", "ledgers"],
    routes: &FRANCHISE_OFFICE_ROUTES,
    slots: 12,
    connections: 110,
};

pub const COOPERATIVE: Deployment = Deployment {
    name: "cooperative",
    network: 30,
    regions: &["north-hills", "mid-plains", "delta"],
    services: &["roster", "enrolment", "maps-and-kits"],
    routes: &COOPERATIVE_ROUTES,
    slots: 18,
    connections: 110,
};

const ZONES_PER_REGION: u8 = 2;

/// A VM of a deployment, with its node and its target.
#[derive(Clone, Debug)]
pub struct Vm {
    pub name: String,
    pub region: &'static str,
    /// Availability zone.
    pub zone: String,
    /// Number of the zone within the deployment, starting at 1.
    pub zone_number: u8,
    /// Service that the target on this VM runs.
    pub service: &'static str,
    pub ip: IpAddr,
}

impl Vm {
    /// Socket address of a port on this VM.
    pub fn socket_addr(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip, port)
    }
}

impl Deployment {
    /// Availability zones, each as region, zone name and zone number.
    pub fn zones(&self) -> Vec<(&'static str, String, u8)> {
        let mut zones = Vec::new();
        for &region in self.regions {
            for number in 1..=ZONES_PER_REGION {
                zones.push((region, format!("{region}-{number}"), zones.len() as u8 + 1));
            }
        }
        zones
    }

    /// VMs, ordered by zone.
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

    /// Address on which the platform serves the nodes of a zone.
    pub fn platform_address(&self, zone_number: u8) -> SocketAddr {
        SocketAddr::new(self.ip(zone_number, PLATFORM_HOST), PLATFORM_PORT)
    }

    /// Address of the platform stand-in's control port.
    pub fn platform_control(&self) -> SocketAddr {
        SocketAddr::new(self.ip(0, PLATFORM_HOST), CONTROL_PORT)
    }

    /// Address of the target stand-ins' control port.
    pub fn targets_control(&self) -> SocketAddr {
        SocketAddr::new(self.ip(0, TARGETS_HOST), CONTROL_PORT)
    }

    fn ip(&self, zone_number: u8, host: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.network, zone_number, host))
    }
}
