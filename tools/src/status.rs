//! Reports whether a version is in force on every node, since when, and why nodes lag.

pub mod config;
pub mod output;
pub mod report;

pub use config::Config;

use crate::client::Client;
use crate::fan_out;
use async_io::Timer;
use report::Report;
use std::io::Write;
use std::time::Duration;
use sycamore_core::{Code, Fault, Result};

/// Interval between two polls of all nodes.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Polls the nodes until the version is in force everywhere or the wait timeout expires, then
/// writes the report. Returns whether the version is in force everywhere.
pub fn run(cfg: &Config, out: &mut dyn Write) -> Result<bool> {
    let report = async_io::block_on(poll_until_in_force(cfg))?;
    output::write(&report, cfg, out)?;
    Ok(report.everywhere)
}

async fn poll_until_in_force(cfg: &Config) -> Result<Report> {
    let client = cfg.fleet.client();
    let nodes = cfg.fleet.resolve_nodes(&client).await?;
    if nodes.is_empty() {
        return Err(Fault::new(Code::FleetBehind).with_detail("the VM lists contain no nodes"));
    }
    let version = expected_version(cfg, &client).await?;
    let deadline = client.now() + cfg.wait_timeout;
    loop {
        let responses =
            fan_out::query_nodes(&client, &nodes, "/status", cfg.fleet.concurrency).await;
        let report = Report::new(&responses, version, client.now());
        if report.everywhere || client.now() >= deadline {
            return Ok(report);
        }
        Timer::after(POLL_INTERVAL).await;
    }
}

/// Returns the version given on the command line, or else the published one.
async fn expected_version(cfg: &Config, client: &Client) -> Result<Option<u64>> {
    match cfg.expected_version {
        Some(version) => Ok(Some(version)),
        None => {
            Ok(cfg.fleet.fetch_publication(client).await?.map(|publication| publication.version))
        }
    }
}
