//! Merges the events of all processes into one timeline, written as text, JSON or SVG.

pub mod config;
pub mod merge;
pub mod output;
pub mod picture;
pub mod promises;
pub mod record;
pub mod request;
pub mod store;

pub use config::Config;

use crate::client::Client;
use crate::fan_out;
use crate::fleet::Node;
use async_io::Timer;
use async_signal::{Signal, Signals};
use futures_lite::{StreamExt, future};
use merge::Timeline;
use std::io::Write;
use std::time::Duration;
use store::RecordStore;
use sycamore_core::status::Events;
use sycamore_core::{Code, Fault, Result, Time};

/// Interval at which the list of nodes is refreshed while polling.
const RESOLVE_INTERVAL: Duration = Duration::from_secs(5);

/// Collects, merges and writes the events. Returns whether any process was found.
pub fn run(cfg: &Config, out: &mut dyn Write) -> Result<bool> {
    if let Some(id) = &cfg.request {
        return request::run(id, &cfg.files, out);
    }
    if let Some(runs) = &cfg.promises {
        return promises::run(&cfg.files, runs, out);
    }
    let mut store = RecordStore::new();
    for path in &cfg.files {
        store.load_file(path)?;
    }
    if let Some(dir) = &cfg.record_dir {
        store.load_dir(dir)?;
    }
    if !cfg.fleet.is_empty() {
        async_io::block_on(collect_events(cfg, &mut store))?;
    }
    let timeline = Timeline::new(store.records());
    output::write(&timeline, cfg, out)?;
    Ok(!timeline.lanes.is_empty())
}

/// Polls the nodes once, or repeatedly for `follow_duration` or until SIGTERM or SIGINT.
async fn collect_events(cfg: &Config, store: &mut RecordStore) -> Result<()> {
    let client = cfg.fleet.client();
    let nodes = cfg.fleet.resolve_nodes(&client).await?;
    if cfg.follow_duration.is_zero() {
        poll_once(cfg, &client, &nodes, store).await;
        return save_records(cfg, store);
    }
    let deadline = client.now() + cfg.follow_duration;
    let mut signals = Signals::new([Signal::Term, Signal::Int])
        .map_err(|e| Fault::new(Code::OutputFailed).with_location("signals").with_detail(e))?;
    let signalled = async {
        signals.next().await;
        Ok(())
    };
    // A signal may cancel the poll between two saves, so the latest records are saved again.
    future::or(poll_until(cfg, &client, nodes, deadline, store), signalled).await?;
    save_records(cfg, store)
}

async fn poll_until(
    cfg: &Config,
    client: &Client,
    mut nodes: Vec<Node>,
    deadline: Time,
    store: &mut RecordStore,
) -> Result<()> {
    let mut last_resolved = client.now();
    while client.now() < deadline {
        poll_once(cfg, client, &nodes, store).await;
        save_records(cfg, store)?;
        Timer::after(cfg.poll_interval).await;
        if client.now().since(last_resolved) >= RESOLVE_INTERVAL {
            last_resolved = client.now();
            // Keep polling the known nodes while the platform is unavailable.
            nodes = cfg.fleet.resolve_nodes(client).await.unwrap_or(nodes);
        }
    }
    Ok(())
}

async fn poll_once(cfg: &Config, client: &Client, nodes: &[Node], store: &mut RecordStore) {
    let concurrency = cfg.fleet.concurrency;
    for response in fan_out::query_nodes::<Events>(client, nodes, "/events", concurrency).await {
        // A node that does not respond is shown as `unseen` in the timeline.
        if let Ok(reply) = response.reply {
            store.insert_reply(reply);
        }
    }
}

fn save_records(cfg: &Config, store: &mut RecordStore) -> Result<()> {
    match &cfg.record_dir {
        Some(dir) => store.save(dir),
        None => Ok(()),
    }
}
