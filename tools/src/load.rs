//! `sycamore-load`: open-loop load generator that sends requests at a constant rate.

pub mod caller;
pub mod client;
pub mod config;
pub mod history;
pub mod mix;
pub mod pattern;
pub mod plan;
pub mod summary;

pub use config::Config;

use crate::command_line::output_failed;
use history::History;
use std::io::Write;
use std::sync::Arc;
use sycamore_core::Result;

/// Runs the load and writes the requested outputs. Returns whether no request was lost or got an
/// incorrect response.
pub fn run(cfg: &Config, stdout: &mut dyn Write) -> Result<bool> {
    let history = Arc::new(History::new(cfg.history.as_deref()).map_err(output_failed)?);
    let summary = cfg.plan.run(&history);
    if let Some(history) = Arc::into_inner(history) {
        history.close().map_err(output_failed)?;
    }
    if let Some(path) = &cfg.json {
        let text = serde_json::to_vec_pretty(&summary.rows()).unwrap_or_default();
        std::fs::write(path, text).map_err(output_failed)?;
    }
    write!(stdout, "{summary}").map_err(output_failed)?;
    let counts = summary.total().counts;
    Ok(counts.lost == 0 && counts.incorrect == 0)
}
