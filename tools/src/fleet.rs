//! Command-line options that select the nodes to query, and their resolution to addresses.

use crate::client::Client;
use crate::command_line::{self, CommandLine, usage};
use crate::input;
use getopts::Matches;
use indexmap::IndexMap;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use sycamore_core::config::InForce;
use sycamore_core::member::{Member, VmList, VmState};
use sycamore_core::place::Place;
use sycamore_core::{Code, Fault, Result};

/// Default of `--timeout-ms`.
const DEFAULT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Default of `--concurrency`.
const DEFAULT_CONCURRENCY: usize = 256;

/// Sources of node addresses, and limits for querying them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetOptions {
    /// JSON files with VM lists.
    pub vm_list_files: Vec<PathBuf>,
    /// Admin addresses of individual nodes.
    pub node_addresses: Vec<SocketAddr>,
    /// Platform to read VM lists and the publication from.
    pub platform: Option<SocketAddr>,
    /// Timeout of a single request.
    pub timeout: Duration,
    /// Maximum number of concurrent requests.
    pub concurrency: usize,
}

/// A node to query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Node {
    /// Address of the admin port.
    pub admin: SocketAddr,
    /// Entry in a VM list; `None` for a node given by address.
    pub member: Option<Member>,
}

/// Value of the platform key `zones`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Zones {
    zones: Vec<Place>,
}

/// Adds the options that select the nodes to query.
pub fn add_options(command_line: CommandLine) -> CommandLine {
    command_line
        .with_values("vms", "JSON VM list, in the format of the platform key vms/<zone>", "FILE")
        .with_values("node", "admin address of a node", "IP:PORT")
        .with_value("platform", "read the VM lists from the platform", "IP:PORT")
        .with_value("timeout-ms", "timeout of a request to a node (default 1000)", "MS")
        .with_value("concurrency", "maximum concurrent requests (default 256)", "N")
}

impl FleetOptions {
    /// Parses the options added by [`add_options`].
    pub fn parse(matches: &Matches) -> Result<FleetOptions> {
        let timeout = command_line::value(matches, "timeout-ms")?;
        let concurrency = command_line::value(matches, "concurrency")?;
        if concurrency == Some(0) {
            return Err(usage("--concurrency: found 0, allowed from 1"));
        }
        Ok(FleetOptions {
            vm_list_files: matches.opt_strs("vms").into_iter().map(PathBuf::from).collect(),
            node_addresses: command_line::values(matches, "node")?,
            platform: command_line::value(matches, "platform")?,
            timeout: timeout.map_or(DEFAULT_TIMEOUT, Duration::from_millis),
            concurrency: concurrency.unwrap_or(DEFAULT_CONCURRENCY),
        })
    }

    /// Returns true if no source of nodes was given.
    pub fn is_empty(&self) -> bool {
        self.vm_list_files.is_empty() && self.node_addresses.is_empty() && self.platform.is_none()
    }

    /// Creates a client with the configured timeout.
    pub fn client(&self) -> Client {
        Client::new(self.timeout)
    }

    /// Resolves all sources to a deduplicated list of nodes, without VMs in state `gone`.
    pub async fn resolve_nodes(&self, client: &Client) -> Result<Vec<Node>> {
        let mut nodes = IndexMap::new();
        for admin in &self.node_addresses {
            nodes.insert(*admin, Node { admin: *admin, member: None });
        }
        for path in &self.vm_list_files {
            add_members(&mut nodes, input::read_json(path)?);
        }
        if let Some(platform) = self.platform {
            for list in fetch_vm_lists(client, platform).await? {
                add_members(&mut nodes, list);
            }
        }
        Ok(nodes.into_values().collect())
    }

    /// Fetches the latest publication, or `None` if no platform is configured.
    pub async fn fetch_publication(&self, client: &Client) -> Result<Option<InForce>> {
        match self.platform {
            Some(platform) => Ok(Some(fetch_platform_key(client, platform, "in-force").await?)),
            None => Ok(None),
        }
    }
}

fn add_members(nodes: &mut IndexMap<SocketAddr, Node>, list: VmList) {
    for member in list.vms {
        if member.state != VmState::Gone {
            nodes.insert(member.admin, Node { admin: member.admin, member: Some(member) });
        }
    }
}

async fn fetch_vm_lists(client: &Client, platform: SocketAddr) -> Result<Vec<VmList>> {
    let zones: Zones = fetch_platform_key(client, platform, "zones").await?;
    let mut lists = Vec::new();
    for place in zones.zones {
        let key = format!("vms/{}", place.zone);
        lists.push(fetch_platform_key(client, platform, &key).await?);
    }
    Ok(lists)
}

async fn fetch_platform_key<T: serde::de::DeserializeOwned>(
    client: &Client,
    platform: SocketAddr,
    key: &str,
) -> Result<T> {
    let reply = client.get(platform, &format!("/v1/kv/{key}")).await;
    let reply = reply.map_err(|fault| Fault { code: to_platform_code(fault.code), ..fault })?;
    Ok(reply.body)
}

/// Maps error codes of node requests to those of platform requests.
fn to_platform_code(code: Code) -> Code {
    match code {
        Code::NodeInvalid => Code::SourceInvalid,
        _ => Code::SourceUnreachable,
    }
}
