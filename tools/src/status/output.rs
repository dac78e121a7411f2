//! Text and JSON output of the `sycamore-status` report.

use super::config::{Config, Format};
use super::report::{LagReason, NodeReport, Report};
use crate::command_line::output_failed;
use crate::text::format_utc;
use std::fmt::{self, Display, Formatter};
use std::io::Write;
use sycamore_core::{Name, Result, Time};

/// Maximum number of nodes listed without `--all`.
const MAX_LISTED_NODES: usize = 40;

/// Writes the report in the configured format.
pub fn write(report: &Report, cfg: &Config, out: &mut dyn Write) -> Result<()> {
    match cfg.format {
        Format::Text => {
            let text = TextReport { report, list_all: cfg.list_all };
            write!(out, "{text}").map_err(output_failed)
        }
        Format::Json => {
            serde_json::to_writer_pretty(&mut *out, report).map_err(output_failed)?;
            writeln!(out).map_err(output_failed)
        }
    }
}

/// Human-readable form of a report.
struct TextReport<'a> {
    report: &'a Report,
    list_all: bool,
}

impl Display for TextReport<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let report = self.report;
        write_summary(f, report)?;
        writeln!(
            f,
            "nodes: {}, holding {}, newer {}, lagging {}, leaving {}",
            report.nodes, report.holding, report.newer, report.lagging, report.leaving
        )?;
        for refusal in &report.refusals {
            writeln!(f, "refused by {} nodes: {}", refusal.nodes, refusal.fault)?;
        }
        let nodes = report.fleet.iter().filter(|node| self.list_all || node.lag.is_some());
        let limit = if self.list_all { usize::MAX } else { MAX_LISTED_NODES };
        for node in nodes.clone().take(limit) {
            write_node(f, node, report.asked)?;
        }
        match nodes.count().saturating_sub(limit) {
            0 => Ok(()),
            more => writeln!(f, "  and {more} more; --all lists them"),
        }
    }
}

fn write_summary(f: &mut Formatter<'_>, report: &Report) -> fmt::Result {
    if report.version == 0 {
        return writeln!(f, "no version is in force anywhere");
    }
    write!(f, "version {} is ", report.version)?;
    match report.everywhere_since {
        Some(since) => {
            let age = seconds_between(report.asked, since);
            write!(f, "in force everywhere since {} ({age:.1} s ago", format_utc(since))?;
            if let Some(first) = report.first_since {
                write!(f, ", {:.3} s after the first node", seconds_between(since, first))?;
            }
            writeln!(f, ")")
        }
        None if report.everywhere => writeln!(f, "superseded everywhere by a newer one"),
        None => writeln!(f, "NOT in force everywhere"),
    }
}

fn write_node(f: &mut Formatter<'_>, node: &NodeReport, asked: Time) -> fmt::Result {
    let vm = node.vm.as_ref().map_or("?", Name::as_str);
    let zone = node.zone.as_ref().map_or("?", Name::as_str);
    write!(f, "  {vm} in {zone} at {}: ", node.admin)?;
    match &node.lag {
        Some(lag) => write!(f, "{lag}")?,
        None => write!(f, "version {}", node.version())?,
    }
    if let Some(since) = node.since {
        write!(f, ", since {:.1} s", seconds_between(asked, since))?;
    }
    writeln!(f, "{}", if node.leaving { ", leaving" } else { "" })
}

impl Display for LagReason {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            LagReason::Unreachable { fault } => write!(f, "{fault}"),
            LagReason::OtherDigest { found } => {
                write!(f, "SPLIT: version {} with digest {}", found.version, found.digest)
            }
            LagReason::Refused { version, fault } => {
                write!(f, "version {version}, last refusal: {fault}")
            }
            LagReason::Fetching { version, parent } => {
                write!(f, "version {version}, heard of a newer one, fetching from ")?;
                write_parent(f, parent.as_ref())
            }
            LagReason::NotHeard { version, parent, platform_answers } => {
                write!(f, "version {version}, heard of no newer one, parent ")?;
                write_parent(f, parent.as_ref())?;
                match platform_answers {
                    Some(true) => write!(f, ", platform answers"),
                    Some(false) => write!(f, ", platform does not answer"),
                    None => Ok(()),
                }
            }
        }
    }
}

fn write_parent(f: &mut Formatter<'_>, parent: Option<&Name>) -> fmt::Result {
    write!(f, "{}", parent.map_or("none", Name::as_str))
}

fn seconds_between(later: Time, earlier: Time) -> f64 {
    later.since(earlier).as_secs_f64()
}
