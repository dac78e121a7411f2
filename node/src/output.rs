//! Event log: one line per state change, as key=value pairs or JSON.

mod lines;

use crate::calls::trace;
use crate::settings::{Log, LogFormat, LogLevel};
use flexi_logger::{DeferredNow, Logger, LoggerHandle};
use indexmap::IndexMap;
use lines::NonBlockingWriter;
use log::Record;
use serde::Serialize;
use serde_json::Value;
use std::io::{self, Write};
use sycamore_core::event::Event;
use sycamore_core::{Code, Fault, Result};

/// Starts logging to standard output. Logging stops when the handle is dropped.
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
        .and_then(|logger| logger.log_to_writer(Box::new(NonBlockingWriter::new(format))).start())
        .map_err(|e| Fault::new(Code::OutputFailed).with_location("log").with_detail(e))
}

/// Logs a state change. Events with an error code are logged as warnings.
pub fn log_event(vm: &str, event: &Event) {
    let level = if event.code.is_some() { log::Level::Warn } else { log::Level::Info };
    let line = serde_json::to_string(&EventLine { vm, event }).unwrap_or_default();
    log::log!(target: EVENT_TARGET, level, "{line}");
}

/// Log target of records whose message is a JSON object of fields.
const EVENT_TARGET: &str = "event";

/// Fields of a state change, identical in both formats.
#[derive(Serialize)]
struct EventLine<'a> {
    vm: &'a str,
    #[serde(flatten)]
    event: &'a Event,
}

/// Fields of a log line, by name.
type Fields = IndexMap<String, Value>;

fn fields(now: &mut DeferredNow, record: &Record<'_>) -> Fields {
    let text = record.args().to_string();
    let mut fields = Fields::new();
    fields.insert("time".to_owned(), now.format_rfc3339().into());
    fields.insert("level".to_owned(), record.level().as_str().into());
    match serde_json::from_str::<Fields>(&text) {
        Ok(event_fields)
            if [EVENT_TARGET, trace::REQUEST_LOG_TARGET].contains(&record.target()) =>
        {
            fields.extend(event_fields)
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
            Value::String(text) if is_unquoted(text) => write!(w, "{space}{name}={text}")?,
            value => write!(w, "{space}{name}={value}")?,
        }
    }
    Ok(())
}

/// Whether a value can be written without quotes.
fn is_unquoted(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|b| b.is_ascii_graphic() && !b"\"\\=".contains(&b))
}
