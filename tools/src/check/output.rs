//! Formats the report of `sycamore-check` as text or JSON.

use super::config::Format;
use super::difference::{Change, Difference, FieldChange, RouteChange, ServiceChange};
use super::report::Report;
use crate::command_line::output_failed;
use std::fmt::{self, Display, Formatter};
use std::io::Write;
use sycamore_core::Result;

pub fn write(report: &Report, format: Format, out: &mut dyn Write) -> Result<()> {
    match format {
        Format::Text => write!(out, "{}", Text(report)).map_err(output_failed),
        Format::Json => {
            serde_json::to_writer_pretty(&mut *out, report).map_err(output_failed)?;
            writeln!(out).map_err(output_failed)
        }
    }
}

/// Formats a report as human-readable text.
struct Text<'a>(&'a Report);

impl Display for Text<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let report = self.0;
        writeln!(f, "{}", if report.accepted { "accepted" } else { "REFUSED" })?;
        for finding in &report.findings {
            writeln!(f, "  {finding}")?;
        }
        if let Some(size) = &report.size {
            let (services, routes, targets) = (size.services, size.routes, size.targets);
            writeln!(f, "preset: {services} services, {routes} routes, {targets} targets")?;
        }
        writeln!(f, "body: {} bytes, digest {}", report.body_bytes, report.digest)?;
        if let Some(now) = &report.evaluated_against {
            writeln!(f, "in force now: version {}, preset {}", now.version, now.preset)?;
        }
        if report.in_force_already {
            writeln!(f, "this publication is in force already")?;
        }
        if let Some(in_force) = &report.in_force {
            let value = serde_json::to_string(in_force).map_err(|_| fmt::Error)?;
            writeln!(f, "publish under in-force: {value}")?;
        }
        match &report.difference {
            Some(difference) => write_difference(f, difference),
            None => Ok(()),
        }
    }
}

fn write_difference(f: &mut Formatter<'_>, difference: &Difference) -> fmt::Result {
    if difference.is_empty() {
        return writeln!(f, "changes: none");
    }
    writeln!(f, "changes:")?;
    for service in &difference.services {
        write_service(f, service)?;
    }
    for route in &difference.routes {
        write_route(f, route)?;
    }
    let resources = &difference.resources;
    writeln!(
        f,
        "to fetch: {} of {} resources, {} bytes before compression; to drop: {}",
        resources.fetched, resources.total, resources.fetched_bytes, resources.dropped
    )
}

fn write_service(f: &mut Formatter<'_>, service: &ServiceChange) -> fmt::Result {
    writeln!(f, "  {} service {}", symbol(service.change), service.name)?;
    if service.change == Change::Changed {
        write_fields(f, "limits.", &service.limits)?;
    }
    for target in &service.targets_added {
        writeln!(f, "      + target {} in {} at {}", target.vm, target.zone, target.gate)?;
    }
    for target in &service.targets_removed {
        writeln!(f, "      - target {} in {} at {}", target.vm, target.zone, target.gate)?;
    }
    for target in &service.targets_moved {
        writeln!(f, "      ~ target {}", target.vm)?;
        write_fields(f, "    ", &target.fields)?;
    }
    if service.moved_keys_percent > 0.0 {
        let percent = service.moved_keys_percent;
        writeln!(f, "      homes of about {percent:.1} % of idempotency keys move")?;
    }
    Ok(())
}

fn write_route(f: &mut Formatter<'_>, route: &RouteChange) -> fmt::Result {
    writeln!(f, "  {} route {}", symbol(route.change), route.name)?;
    if route.change == Change::Changed {
        write_fields(f, "", &route.fields)?;
    }
    Ok(())
}

fn write_fields(f: &mut Formatter<'_>, prefix: &str, fields: &[FieldChange]) -> fmt::Result {
    for change in fields {
        writeln!(f, "      {prefix}{}: {} -> {}", change.field, change.before, change.after)?;
    }
    Ok(())
}

fn symbol(change: Change) -> char {
    match change {
        Change::Added => '+',
        Change::Removed => '-',
        Change::Changed => '~',
    }
}
