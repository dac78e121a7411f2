//! Report of `sycamore-status`: which nodes hold the expected version, and why others lag.

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
    /// The node did not respond.
    Unreachable {
        /// Error of the request.
        fault: String,
    },
    /// The node holds the expected version number with a different digest.
    OtherDigest {
        /// Publication in force on the node.
        found: InForce,
    },
    /// The node has heard of the version but has refused a publication.
    Refused {
        /// Version in force on the node; zero if none.
        version: u64,
        /// Error of the refusal.
        fault: String,
    },
    /// The node has heard of the version but has not fetched it completely.
    Fetching {
        /// Version in force on the node; zero if none.
        version: u64,
        /// Peer that the node fetches versions from.
        parent: Option<Name>,
    },
    /// The node has not heard of the version.
    NotHeard {
        /// Version in force on the node; zero if none.
        version: u64,
        /// Peer that the node fetches versions from.
        parent: Option<Name>,
        /// Whether the node's last call to the platform succeeded; null if it has made none.
        platform_answers: Option<bool>,
    },
}

/// State of one node.
#[derive(Clone, Debug, Serialize)]
pub struct NodeReport {
    /// VM of the node; null if it did not respond and is in no VM list.
    pub vm: Option<Name>,
    pub region: Option<Name>,
    /// Availability zone of the VM.
    pub zone: Option<Name>,
    /// Address of the admin port.
    pub admin: SocketAddr,
    /// Role in version distribution.
    pub role: Option<Role>,
    /// Publication in force on the node.
    pub in_force: Option<InForce>,
    /// When it was put into force, by this tool's clock.
    pub since: Option<Time>,
    /// Whether the node or its VM list reports it as leaving.
    pub leaving: bool,
    /// Why the node lags; null if it does not.
    pub lag: Option<LagReason>,
}

/// State of all queried nodes.
#[derive(Debug, Serialize)]
pub struct Report {
    /// The expected version.
    pub version: u64,
    /// Whether every node that is not leaving holds this version or a newer one.
    pub everywhere: bool,
    /// When it came into force on the last node, by this tool's clock; null unless everywhere.
    pub everywhere_since: Option<Time>,
    /// When it came into force on the first node, by this tool's clock.
    pub first_since: Option<Time>,
    /// When the nodes were queried.
    pub asked: Time,
    /// Number of nodes queried.
    pub nodes: usize,
    /// Number of nodes that hold the expected version.
    pub holding: usize,
    /// Number of nodes that hold a newer version.
    pub newer: usize,
    /// Number of nodes that lag, without those that are leaving.
    pub lagging: usize,
    /// Number of leaving nodes that lag.
    pub leaving: usize,
    /// Distinct refusal errors with the number of nodes that reported each.
    pub refusals: Vec<Refusal>,
    /// All queried nodes.
    pub fleet: Vec<NodeReport>,
}

/// A refusal error and how many nodes reported it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Refusal {
    pub fault: String,
    /// Number of nodes that reported it.
    pub nodes: usize,
}

impl Report {
    /// Evaluates the responses. `expected` defaults to the newest version in force on any node.
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

/// Groups refusals by error text. Only the few nodes that fetched a refused document report why.
fn count_refusals(fleet: &[NodeReport]) -> Vec<Refusal> {
    let mut nodes = IndexMap::<&str, usize>::new();
    for lag in fleet.iter().filter_map(|node| node.lag.as_ref()) {
        if let LagReason::Refused { fault, .. } = lag {
            *nodes.entry(fault).or_default() += 1;
        }
    }
    nodes.into_iter().map(|(fault, nodes)| Refusal { fault: fault.to_owned(), nodes }).collect()
}

/// The version that every node is expected to hold.
struct ExpectedVersion {
    version: u64,
    /// The publication of this version that most nodes hold. Nodes with a different digest are
    /// reported, because one version number must not identify two documents.
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

    /// Version in force on the node; zero if none.
    pub fn version(&self) -> u64 {
        self.in_force.as_ref().map_or(0, |in_force| in_force.version)
    }
}

/// Returns why a node that responded does not hold the expected version, or `None` if it does.
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

/// Converts a node's timestamp to this tool's clock. The node's clock showed `node_now` when this
/// tool's clock showed `local_now`.
fn to_local_clock(time: Time, node_now: Time, local_now: Time) -> Time {
    match time > node_now {
        true => local_now + time.since(node_now),
        false => local_now - node_now.since(time),
    }
}
