//! Log lines: one a change of state, as key=value pairs or as JSON.

mod lines;

use crate::calls::trace;
use crate::settings::{Log, LogFormat, LogLevel};
use flexi_logger::{DeferredNow, Logger, LoggerHandle};
use indexmap::IndexMap;
use lines::Lines;
use log::Record;
use serde::Serialize;
use serde_json::Value;
use std::io::{self, Write};
use sycamore_core::event::Event;
use sycamore_core::{Code, Fault, Result};

/// Starts logging to standard output; keep the handle for the life of the process.
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
        .and_then(|logger| logger.log_to_writer(Box::new(Lines::new(format))).start())
        .map_err(|e| Fault::new(Code::OutputFailed).with_location("log").with_detail(e))
}

/// Writes the line of a change of state. Failures are warnings.
pub fn event(vm: &str, event: &Event) {
    let level = if event.code.is_some() { log::Level::Warn } else { log::Level::Info };
    let line = serde_json::to_string(&EventLine { vm, event }).unwrap_or_default();
    log::log!(target: EVENT, level, "{line}");
}

/// Target of log records whose text is a JSON object of fields.
const EVENT: &str = "event";

/// Fields of a change of state, the same in both formats.
#[derive(Serialize)]
struct EventLine<'a> {
    vm: &'a str,
    #[serde(flatten)]
    event: &'a Event,
}

/// Fields of a log line by name.
type Fields = IndexMap<String, Value>;

fn fields(now: &mut DeferredNow, record: &Record<'_>) -> Fields {
    let text = record.args().to_string();
    let mut fields = Fields::new();
    fields.insert("time".to_owned(), now.format_rfc3339().into());
    fields.insert("level".to_owned(), record.level().as_str().into());
    match serde_json::from_str::<Fields>(&text) {
        Ok(of_event) if [EVENT, trace::REQUEST_LOG_TARGET].contains(&record.target()) => {
            fields.extend(of_event)
        }
        _ => {
            fields.insert("text".to_owned(), text.into());
        }
    }
    fields
}

fn write_json(w: &mut dyn Write, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
    Ok(serde_json::to_writer(w, &fields(now, record))?)
}

fn write_text(w: &mut dyn Write, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
    for (index, (name, value)) in fields(now, record).iter().enumerate() {
        let space = if index == 0 { "" } else { " " };
        match value {
            Value::String(text) if is_plain(text) => write!(w, "{space}{name}={text}")?,
            value => write!(w, "{space}{name}={value}")?,
        }
    }
    Ok(())
}

/// Whether a value needs no quotes to be read back.
fn is_plain(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|b| b.is_ascii_graphic() && !b"\"\\=".contains(&b))
}
