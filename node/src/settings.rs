//! Node settings, parsed from a JSON file and validated.

mod scheduling;

pub use scheduling::Scheduling;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;
use sycamore_core::place::Place;
use sycamore_core::{Code, Fault, Name, Result};

/// Settings of one node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// VM on which the node runs.
    pub vm: Name,
    /// Region of the VM.
    pub region: Name,
    /// Availability zone of the VM.
    pub zone: Name,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Address of the target on this VM; absent if the VM has none.
    #[serde(default)]
    pub target_address: Option<SocketAddr>,
    /// Address of the platform's configuration service.
    pub platform_address: SocketAddr,
    /// Region of the platform, if known. Nodes in that region read bodies on behalf of the other
    /// regions.
    #[serde(default)]
    pub platform_region: Option<Name>,
    /// Peers to query after a start, before the platform; may be empty.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Services whose routes this node needs; all if absent.
    #[serde(default)]
    pub scope: Option<Vec<Name>>,
    /// Service of the target on this VM, where targets register themselves; absent if the preset
    /// lists the target.
    #[serde(default)]
    pub service: Option<Name>,
    /// Region of each availability zone, for targets that register only their zone.
    #[serde(default)]
    pub zones: IndexMap<Name, Name>,
    /// Fleet-wide retry budget, for presets that define none.
    #[serde(default)]
    pub fleet_retries: FleetRetries,
    /// Rate allowed for cold targets, for presets that state only the rate that they always bear.
    #[serde(default)]
    pub cold_rate: ColdRate,
    /// Bounds on the time until changes take effect.
    #[serde(default)]
    pub bounds: Bounds,
    /// Scheduling features of the call path.
    #[serde(default)]
    pub scheduling: Scheduling,
    /// Process limits.
    #[serde(default)]
    pub limits: Limits,
    /// Format and level of log lines.
    #[serde(default)]
    pub log: Log,
}

/// Addresses to listen on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Accepts calls from callers and the local target.
    pub calls: SocketAddr,
    /// Accepts calls that other nodes forward to the local target.
    pub gate: SocketAddr,
    /// Accepts messages from peers.
    pub peers: SocketAddr,
    /// Serves the admin endpoints.
    pub admin: SocketAddr,
    /// Optional second address of the admin endpoints, for readiness probes.
    #[serde(default)]
    pub ready: Option<SocketAddr>,
}

/// Fleet-wide retry budget per service and ten-second window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetRetries {
    /// Retries as a share of first attempts; 0 to 1, rounded to 0.01.
    pub share: Share,
    /// Retries allowed in addition to the share; 0 to 100,000, rounded down.
    pub reserve: Reserve,
}

impl Default for FleetRetries {
    fn default() -> FleetRetries {
        FleetRetries { share: Share { percent: 10 }, reserve: Reserve { count: 30 } }
    }
}

/// Requests per second that a cold target may be sent, beyond the rate that it always bears.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ColdRate {
    /// Multiple of the rate that the target always bears; 1 to 100, rounded to 0.01.
    pub factor: Factor,
    /// Requests per second in addition; 0 to 100,000, rounded down.
    pub reserve: Reserve,
}

impl Default for ColdRate {
    fn default() -> ColdRate {
        ColdRate { factor: Factor { percent: 100 }, reserve: Reserve { count: 0 } }
    }
}

/// A factor of at least 1, serialised as a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Factor {
    /// The factor, in percent.
    pub percent: u32,
}

impl TryFrom<f64> for Factor {
    type Error = String;

    fn try_from(factor: f64) -> std::result::Result<Factor, String> {
        match (1.0..=100.0).contains(&factor) {
            true => Ok(Factor { percent: (factor * 100.0).round() as u32 }),
            false => Err(format!("found {factor}, allowed 1 to 100")),
        }
    }
}

impl From<Factor> for f64 {
    fn from(factor: Factor) -> f64 {
        f64::from(factor.percent) / 100.0
    }
}

/// An allowance beside a share, serialised as a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "u32")]
pub struct Reserve {
    /// The allowance, rounded down.
    pub count: u32,
}

impl TryFrom<f64> for Reserve {
    type Error = String;

    fn try_from(reserve: f64) -> std::result::Result<Reserve, String> {
        match (0.0..=100_000.0).contains(&reserve) {
            true => Ok(Reserve { count: reserve as u32 }),
            false => Err(format!("found {reserve}, allowed 0 to 100000")),
        }
    }
}

impl From<Reserve> for u32 {
    fn from(reserve: Reserve) -> u32 {
        reserve.count
    }
}

/// A share, serialised as a number from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Share {
    /// The share, in percent.
    pub percent: u32,
}

/// A link rate, serialised in megabits per second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct LinkRate {
    /// The rate, in kilobits per second.
    pub kbps: u64,
}

impl TryFrom<f64> for LinkRate {
    type Error = String;

    fn try_from(mbps: f64) -> std::result::Result<LinkRate, String> {
        match (0.1..=1_000_000.0).contains(&mbps) {
            true => Ok(LinkRate { kbps: (mbps * 1_000.0).round() as u64 }),
            false => Err(format!("found {mbps}, allowed 0.1 to 1000000")),
        }
    }
}

impl From<LinkRate> for f64 {
    fn from(rate: LinkRate) -> f64 {
        rate.kbps as f64 / 1_000.0
    }
}

/// A time until a process is killed, serialised in seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct StopTimeout {
    /// The time, in milliseconds.
    pub ms: u64,
}

impl TryFrom<f64> for StopTimeout {
    type Error = String;

    fn try_from(seconds: f64) -> std::result::Result<StopTimeout, String> {
        match (0.5..=3_600.0).contains(&seconds) {
            true => Ok(StopTimeout { ms: (seconds * 1_000.0).round() as u64 }),
            false => Err(format!("found {seconds}, allowed 0.5 to 3600")),
        }
    }
}

impl From<StopTimeout> for f64 {
    fn from(timeout: StopTimeout) -> f64 {
        timeout.ms as f64 / 1_000.0
    }
}

impl TryFrom<f64> for Share {
    type Error = String;

    fn try_from(share: f64) -> std::result::Result<Share, String> {
        match (0.0..=1.0).contains(&share) {
            true => Ok(Share { percent: (share * 100.0).round() as u32 }),
            false => Err(format!("found {share}, allowed 0 to 1")),
        }
    }
}

impl From<Share> for f64 {
    fn from(share: Share) -> f64 {
        f64::from(share.percent) / 100.0
    }
}

/// Upper bounds on the time from the store's acknowledgement until a change takes effect on every
/// node, for platforms whose targets register in a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// For a new version; 2,000 to 60,000 ms.
    pub change_ms: u64,
    /// For the removal of a target; 2,000 to 60,000 ms.
    pub leaving_ms: u64,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds { change_ms: 2_500, leaving_ms: 2_500 }
    }
}

impl Bounds {
    fn check(&self) -> Result<()> {
        check_range("bounds.change_ms", self.change_ms, 2_000..=60_000)?;
        check_range("bounds.leaving_ms", self.leaving_ms, 2_000..=60_000)
    }

    /// The shorter bound, in milliseconds.
    pub fn shortest_ms(&self) -> u64 {
        self.change_ms.min(self.leaving_ms)
    }
}

/// Process limits. Field names include the unit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Number of threads that serve calls; 1 to 64.
    pub threads: usize,
    /// Maximum number of connections on each of `listen.calls` and `listen.gate`; 1 to 100,000.
    pub max_connections: usize,
    /// Maximum size of a request head; 1,024 to 1,048,576 bytes.
    pub max_head_bytes: usize,
    /// Timeout for reading a request head; 100 to 60,000 ms.
    pub head_timeout_ms: u64,
    /// Idle timeout of a body, in both directions; 100 to 600,000 ms.
    pub idle_body_timeout_ms: u64,
    /// Maximum response bytes buffered for one connection whose peer reads slowly; 16 to 65,536 KB.
    pub reader_buffer_kb: u64,
    /// Number of events kept in memory; 16 to 100,000.
    pub event_ring: usize,
    /// Maximum wait for the first configuration before unreachable peers are skipped; 100 to
    /// 600,000 ms.
    pub first_configuration_ms: u64,
    /// Time during which a draining node still accepts requests from callers; 0 to 600,000 ms.
    pub serve_while_leaving_ms: u64,
    /// Time during which a draining node still accepts requests forwarded by other nodes; 0 to
    /// 600,000 ms.
    pub run_while_leaving_ms: u64,
    /// Time from the stop signal until the process is killed; 0.5 to 3,600 s. Absent if only
    /// `drain_ms` of the service bounds a stop.
    pub stop_timeout_s: Option<StopTimeout>,
    /// Bandwidth of the VM's link in each direction, in megabits per second; absent if it is not a
    /// bottleneck.
    pub link_mbps: Option<LinkRate>,
    /// Maximum number of VMs in the fleet; 1 to 1,000,000. A node without known peers limits its
    /// platform calls accordingly.
    pub fleet_vms: u32,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            threads: 2,
            max_connections: 1_024,
            max_head_bytes: 16_384,
            head_timeout_ms: 5_000,
            idle_body_timeout_ms: 10_000,
            reader_buffer_kb: 256,
            event_ring: 512,
            first_configuration_ms: 5_000,
            serve_while_leaving_ms: 0,
            run_while_leaving_ms: 0,
            stop_timeout_s: None,
            link_mbps: None,
            fleet_vms: 1_000,
        }
    }
}

/// Format and level of log lines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Output format.
    pub format: LogFormat,
    /// Minimum level.
    pub level: LogLevel,
}

impl Default for Log {
    fn default() -> Log {
        Log { format: LogFormat::Text, level: LogLevel::Info }
    }
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// key=value lines.
    Text,
    /// One JSON object per line.
    Json,
}

/// Log level.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// Failures of the node itself.
    Error,
    /// Also conditions that may need operator action.
    Warn,
    /// Also state changes.
    Info,
}

impl Settings {
    /// Reads and validates a settings file.
    pub fn read(path: &Path) -> Result<Settings> {
        let place = path.display();
        let buf = std::fs::read(path).map_err(|e| {
            Fault::new(Code::SettingsUnreadable).with_location(&place).with_detail(e)
        })?;
        Settings::parse(&buf).map_err(|fault| {
            let location = format!("{place}: {}", fault.location);
            fault.with_location(location)
        })
    }

    /// Parses and validates settings. The location of an error is its JSON path.
    pub fn parse(buf: &[u8]) -> Result<Settings> {
        let deserializer = &mut serde_json::Deserializer::from_slice(buf);
        let settings: Settings =
            serde_path_to_error::deserialize(&mut *deserializer).map_err(|e| {
                let place = e.path().to_string();
                Fault::new(Code::SettingsInvalid).with_location(place).with_detail(e.into_inner())
            })?;
        deserializer.end().map_err(|e| Fault::new(Code::SettingsInvalid).with_detail(e))?;
        settings.listen.check()?;
        settings.check_target()?;
        settings.bounds.check()?;
        settings.scheduling.check()?;
        settings.limits.check()?;
        Ok(settings)
    }

    /// Region and zone of the VM.
    pub fn place(&self) -> Place {
        Place { region: self.region.clone(), zone: self.zone.clone() }
    }

    /// Guards against a gatekeeper that forwards calls to its own node until its connections are
    /// exhausted.
    fn check_target(&self) -> Result<()> {
        let target = self.target_address;
        match self
            .listen
            .named_addresses()
            .into_iter()
            .find(|(_, address)| Some(*address) == target)
        {
            Some((name, address)) => {
                let detail = format!("found {address}, which is already used by listen.{name}");
                Err(Fault::new(Code::SettingsInvalid)
                    .with_location("target_address")
                    .with_detail(detail))
            }
            None => Ok(()),
        }
    }
}

impl Listen {
    fn named_addresses(&self) -> Vec<(&'static str, SocketAddr)> {
        let required = [
            ("calls", self.calls),
            ("gate", self.gate),
            ("peers", self.peers),
            ("admin", self.admin),
        ];
        required.into_iter().chain(self.ready.map(|ready| ("ready", ready))).collect()
    }

    /// Guards against an address used twice, which would otherwise surface as "address in use" when
    /// the node starts. Port 0 is exempt, since it selects a free port.
    fn check(&self) -> Result<()> {
        let addresses = self.named_addresses();
        for (index, (name, address)) in addresses.iter().enumerate() {
            let earlier = addresses[..index].iter().find(|(_, other)| other == address);
            if let Some((other, _)) = earlier.filter(|_| address.port() != 0) {
                let detail = format!("found {address}, which is already used by listen.{other}");
                return Err(Fault::new(Code::SettingsInvalid)
                    .with_location(format!("listen.{name}"))
                    .with_detail(detail));
            }
        }
        Ok(())
    }
}

impl Limits {
    /// Maximum response bytes buffered for one connection whose peer reads slowly.
    pub fn reader_buffer_bytes(&self) -> u64 {
        self.reader_buffer_kb << 10
    }

    fn check(&self) -> Result<()> {
        let ranges = [
            ("threads", self.threads as u64, 1..=64),
            ("max_connections", self.max_connections as u64, 1..=100_000),
            ("max_head_bytes", self.max_head_bytes as u64, 1_024..=1_048_576),
            ("head_timeout_ms", self.head_timeout_ms, 100..=60_000),
            ("idle_body_timeout_ms", self.idle_body_timeout_ms, 100..=600_000),
            ("reader_buffer_kb", self.reader_buffer_kb, 16..=65_536),
            ("event_ring", self.event_ring as u64, 16..=100_000),
            ("first_configuration_ms", self.first_configuration_ms, 100..=600_000),
            ("serve_while_leaving_ms", self.serve_while_leaving_ms, 0..=600_000),
            ("run_while_leaving_ms", self.run_while_leaving_ms, 0..=600_000),
            ("fleet_vms", self.fleet_vms.into(), 1..=1_000_000),
        ];
        for (field, found, allowed) in ranges {
            check_range(&format!("limits.{field}"), found, allowed)?;
        }
        Ok(())
    }
}

fn check_range(place: &str, found: u64, allowed: RangeInclusive<u64>) -> Result<()> {
    if allowed.contains(&found) {
        return Ok(());
    }
    let detail = format!("found {found}, allowed {} to {}", allowed.start(), allowed.end());
    Err(Fault::new(Code::SettingsInvalid).with_location(place).with_detail(detail))
}
