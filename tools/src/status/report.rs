//! What `sycamore-status` reports.

use crate::fan_out::NodeResponse;
use indexmap::{IndexMap, IndexSet};
use serde::Serialize;
use std::net::SocketAddr;
use sycamore_core::config::InForce;
use sycamore_core::member::VmState;
use sycamore_core::status::{Role, Status};
use sycamore_core::{Name, Time};

/// Why a node does not hold the expected version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "why")]
pub enum LagReason {
    /// It did not answer.
    Unreachable {
        /// The failure.
        fault: String,
    },
    /// It holds the same version with another digest.
    OtherDigest {
        /// What it holds.
        found: InForce,
    },
    /// It heard of the version; the last one it refused, and why.
    Refused {
        /// The version in force there; zero if none.
        version: u64,
        /// The refusal.
        fault: String,
    },
    /// It heard of the version but does not hold it whole yet.
    Fetching {
        /// The version in force there; zero if none.
        version: u64,
        /// Where it takes versions from.
        parent: Option<Name>,
    },
    /// It has not heard of the version.
    NotHeard {
        /// The version in force there; zero if none.
        version: u64,
        /// Where it takes versions from.
        parent: Option<Name>,
        /// Whether the platform answered its last call; null if it made none.
        platform_answers: Option<bool>,
    },
}

/// One node.
#[derive(Clone, Debug, Serialize)]
pub struct NodeReport {
    /// Its VM; null if it did not answer and no list names it.
    pub vm: Option<Name>,
    /// Region of the VM.
    pub region: Option<Name>,
    /// Availability zone of the VM.
    pub zone: Option<Name>,
    /// Address of its admin port.
    pub admin: SocketAddr,
    /// What it does for the spread.
    pub role: Option<Role>,
    /// The version in force there.
    pub in_force: Option<InForce>,
    /// Since when, by this tool's clock.
    pub since: Option<Time>,
    /// Whether it is leaving, by its own word or by the list.
    pub leaving: bool,
    /// Why it lags; null if it does not.
    pub lag: Option<LagReason>,
}

/// The report on a fleet.
#[derive(Debug, Serialize)]
pub struct Report {
    /// The version asked for.
    pub version: u64,
    /// Whether every node holds it or a newer one. Nodes that are leaving don't count.
    pub everywhere: bool,
    /// When it came into force on the last node, by this tool's clock; null unless everywhere.
    pub everywhere_since: Option<Time>,
    /// When it came into force on the first node, by this tool's clock.
    pub first_since: Option<Time>,
    /// When the fleet was asked.
    pub asked: Time,
    /// Nodes asked.
    pub nodes: usize,
    /// Nodes that hold the version.
    pub holding: usize,
    /// Nodes that hold a newer one.
    pub newer: usize,
    /// Nodes that lag.
    pub lagging: usize,
    /// Nodes that lag but are leaving.
    pub leaving: usize,
    /// Why nodes that heard of the version refused it, each reason once.
    pub refusals: Vec<Refusal>,
    /// Every node.
    pub fleet: Vec<NodeReport>,
}

/// One reason that nodes refused a version for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Refusal {
    /// The reason.
    pub fault: String,
    /// Nodes that gave it.
    pub nodes: usize,
}

impl Report {
    /// Judges the answers of a fleet. Without an expected version it is the newest that any node
    /// holds.
    pub fn new(responses: &[NodeResponse<Status>], expected: Option<u64>, asked: Time) -> Report {
        let expected = ExpectedVersion::new(responses, expected);
        let fleet: Vec<_> = responses.iter().map(|a| NodeReport::new(a, &expected)).collect();
        let version = expected.version;
        let count =
            |predicate: &dyn Fn(&NodeReport) -> bool| fleet.iter().filter(|n| predicate(n)).count();
        let lagging = count(&|node| node.lag.is_some() && !node.leaving);
        let holding = count(&|node| node.lag.is_none() && node.version() == version);
        let everywhere = lagging == 0 && version > 0;
        let since = || fleet.iter().filter(|n| n.version() == version).filter_map(|n| n.since);
        Report {
            version,
            everywhere,
            everywhere_since: since().max().filter(|_| everywhere),
            first_since: since().min(),
            asked,
            nodes: fleet.len(),
            holding,
            newer: count(&|node| node.version() > version),
            lagging,
            leaving: count(&|node| node.lag.is_some() && node.leaving),
            refusals: count_refusals(&fleet),
            fleet,
        }
    }
}

/// Few nodes read a body that is refused, and the others never hear of it; together they tell why.
fn count_refusals(fleet: &[NodeReport]) -> Vec<Refusal> {
    let mut nodes = IndexMap::<&str, usize>::new();
    for lag in fleet.iter().filter_map(|node| node.lag.as_ref()) {
        if let LagReason::Refused { fault, .. } = lag {
            *nodes.entry(fault).or_default() += 1;
        }
    }
    nodes.into_iter().map(|(fault, nodes)| Refusal { fault: fault.to_owned(), nodes }).collect()
}

/// What every node should hold.
struct ExpectedVersion {
    version: u64,
    /// The publication that most nodes hold under this version. Two digests under one version are
    /// a split fleet, which nodes rule out; a report that took any digest for right would hide it.
    publication: Option<InForce>,
}

impl ExpectedVersion {
    fn new(responses: &[NodeResponse<Status>], version: Option<u64>) -> ExpectedVersion {
        let replies = || responses.iter().filter_map(|response| response.reply.as_ref().ok());
        let in_force = || replies().filter_map(|reply| reply.body.in_force.as_ref());
        let newest = in_force().map(|in_force| in_force.version).max();
        let version = version.or(newest).unwrap_or(0);
        let held = || in_force().filter(|in_force| in_force.version == version);
        let publications: IndexSet<_> = held().collect();
        let count_holders = |publication: &InForce| held().filter(|i| *i == publication).count();
        let publication =
            publications.into_iter().max_by_key(|publication| count_holders(publication));
        ExpectedVersion { version, publication: publication.cloned() }
    }
}

impl NodeReport {
    fn new(response: &NodeResponse<Status>, expected: &ExpectedVersion) -> NodeReport {
        let member = response.node.member.as_ref();
        let leaving_in_list = member.is_some_and(|member| member.state == VmState::Leaving);
        match &response.reply {
            Ok(reply) => {
                let status = &reply.body;
                NodeReport {
                    vm: Some(status.vm.clone()),
                    region: Some(status.region.clone()),
                    zone: Some(status.zone.clone()),
                    admin: response.node.admin,
                    role: Some(status.role),
                    in_force: status.in_force.clone(),
                    since: status
                        .in_force_since
                        .map(|since| to_local_clock(since, status.now, reply.midpoint)),
                    leaving: leaving_in_list || status.draining,
                    lag: lag_reason(status, expected),
                }
            }
            Err(fault) => NodeReport {
                vm: member.map(|member| member.vm.clone()),
                region: member.map(|member| member.region.clone()),
                zone: member.map(|member| member.zone.clone()),
                admin: response.node.admin,
                role: None,
                in_force: None,
                since: None,
                leaving: leaving_in_list,
                lag: Some(LagReason::Unreachable { fault: fault.to_string() }),
            },
        }
    }

    /// The version in force there; zero if none.
    pub fn version(&self) -> u64 {
        self.in_force.as_ref().map_or(0, |in_force| in_force.version)
    }
}

/// Why a node that answered does not hold what it should.
fn lag_reason(status: &Status, expected: &ExpectedVersion) -> Option<LagReason> {
    let version = status.in_force.as_ref().map_or(0, |in_force| in_force.version);
    match &status.in_force {
        Some(_) if version > expected.version => return None,
        Some(found) if version == expected.version => {
            let other = Some(found) != expected.publication.as_ref();
            return other.then(|| LagReason::OtherDigest { found: found.clone() });
        }
        _ => {}
    }
    let parent = status.parent.clone();
    if status.newest_heard < expected.version {
        let platform_answers = status.platform_answers;
        return Some(LagReason::NotHeard { version, parent, platform_answers });
    }
    Some(match &status.last_refusal {
        Some(fault) => LagReason::Refused { version, fault: fault.clone() },
        None => LagReason::Fetching { version, parent },
    })
}

/// A node's time by this tool's clock: the node's clock read `now` when this tool's read `at`.
fn to_local_clock(time: Time, node_now: Time, local_now: Time) -> Time {
    match time > node_now {
        true => local_now + time.since(node_now),
        false => local_now - node_now.since(time),
    }
}
