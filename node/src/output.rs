//! Log lines: one a change of state, as key=value pairs or as JSON.

use crate::settings::{Log, LogFormat, LogLevel};
use flexi_logger::{DeferredNow, Logger, LoggerHandle};
use log::Record;
use std::io::Write;
use sycamore_core::event::Event;
use sycamore_core::{Code, Fault, Result};

/// Starts logging to standard error; keep the handle for the life of the process.
pub fn start(log: &Log) -> Result<LoggerHandle> {
    let level = match log.level {
        LogLevel::Error => "error",
        LogLevel::Warn => "warn",
        LogLevel::Info => "info",
    };
    let format = match log.format {
        LogFormat::Text => write_text,
        LogFormat::Json => write_json,
    };
    Logger::try_with_str(level)
        .and_then(|logger| logger.format(format).log_to_stderr().start())
        .map_err(|e| Fault::new(Code::OutputFailed).with_place("log").with_detail(e))
}

/// Writes the line of a change of state. Failures are warnings.
pub fn event(vm: &str, event: &Event) {
    let level = if event.code.is_some() { log::Level::Warn } else { log::Level::Info };
    // The event's own JSON form gives both formats the same fields and names.
    let fields = serde_json::to_string(event).unwrap_or_default();
    log::log!(level, "{{\"vm\":\"{vm}\",{}", fields.trim_start_matches('{'));
}

fn write_json(
    w: &mut dyn Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> std::io::Result<()> {
    let text = record.args().to_string();
    let time = now.format_rfc3339();
    let level = record.level();
    if let Some(fields) = text.strip_prefix('{') {
        return write!(w, "{{\"time\":\"{time}\",\"level\":\"{level}\",{fields}");
    }
    let text = serde_json::Value::String(text);
    write!(w, "{{\"time\":\"{time}\",\"level\":\"{level}\",\"text\":{text}}}")
}

fn write_text(
    w: &mut dyn Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> std::io::Result<()> {
    write!(w, "time={} level={}", now.format_rfc3339(), record.level())?;
    let text = record.args().to_string();
    match serde_json::from_str::<indexmap::IndexMap<String, serde_json::Value>>(&text) {
        Ok(fields) => {
            for (name, value) in fields {
                write!(w, " {name}={value}")?;
            }
            Ok(())
        }
        Err(_) => write!(w, " text={text:?}"),
    }
}
