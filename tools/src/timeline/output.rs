//! Text, JSON and SVG output of the timeline.

use super::config::{Config, Format};
use super::merge::{EventMark, Lane, Process, Timeline, VersionSpan};
use super::picture;
use crate::command_line::output_failed;
use crate::text::format_utc;
use std::fmt::{self, Display, Formatter};
use std::io::Write;
use sycamore_core::{Code, Result, Time};

/// Writes the timeline to the file given by `--output`, or else to `out`.
pub fn write(timeline: &Timeline, cfg: &Config, out: &mut dyn Write) -> Result<()> {
    let text = match cfg.format {
        Format::Text => TextTimeline(timeline).to_string(),
        Format::Json => {
            let json = serde_json::to_string_pretty(timeline).map_err(output_failed)?;
            json + "\n"
        }
        Format::Svg => picture::render(timeline, &cfg.title).to_string() + "\n",
    };
    match &cfg.output {
        Some(path) => {
            std::fs::write(path, text).map_err(|e| output_failed(e).with_location(path.display()))
        }
        None => out.write_all(text.as_bytes()).map_err(output_failed),
    }
}

/// Formats an event on one line, without its time and VM.
pub fn describe_mark(mark: &EventMark) -> String {
    let mut text = mark.kind.name();
    if let Some(version) = mark.version {
        text += &format!(" version {version}");
    }
    if let Some(peer) = &mark.peer {
        text += &format!(" {peer}");
    }
    if let Some(number) = mark.code {
        text += &format!(" E{number}");
    }
    if let Some(code) = mark.code.and_then(Code::from_number) {
        text += &format!(": {code}");
    }
    text
}

/// Formats the rollout of a version on one line.
pub fn describe_version(span: &VersionSpan) -> String {
    let ms = span.last.since(span.first).as_micros() as f64 / 1_000.0;
    format!("version {}: {} of {} nodes in {ms:.1} ms", span.version, span.nodes, span.running)
}

/// Human-readable form of a timeline.
struct TextTimeline<'a>(&'a Timeline);

impl Display for TextTimeline<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let timeline = self.0;
        writeln!(f, "from {} to {}", format_utc(timeline.start), format_utc(timeline.end))?;
        for span in &timeline.versions {
            writeln!(f, "{} {}", format_offset(timeline, span.first), describe_version(span))?;
        }
        for lane in &timeline.lanes {
            for process in &lane.processes {
                write_process(f, timeline, lane, process)?;
            }
        }
        for (lane, mark) in timeline.marks() {
            let time = format_offset(timeline, mark.at);
            writeln!(f, "{time} {:<12} {:<16} {}", lane.zone, lane.vm, describe_mark(mark))?;
        }
        Ok(())
    }
}

fn write_process(
    f: &mut Formatter<'_>,
    timeline: &Timeline,
    lane: &Lane,
    process: &Process,
) -> fmt::Result {
    let end = serde_json::to_value(process.end).unwrap_or_default();
    write!(
        f,
        "{} {:<12} {:<16} process ",
        format_offset(timeline, process.started),
        lane.zone,
        lane.vm
    )?;
    write!(f, "{} at{}", end.as_str().unwrap_or_default(), format_offset(timeline, process.ended))?;
    match process.error_us {
        Some(error_us) => write!(f, ", clock error up to {error_us} us")?,
        None => write!(f, ", clock offset unknown")?,
    }
    match process.dropped {
        0 => writeln!(f),
        dropped => writeln!(f, ", {dropped} events lost"),
    }
}

/// Formats a time as seconds since the start of the timeline.
fn format_offset(timeline: &Timeline, time: Time) -> String {
    format!("{:>+11.3} s", time.since(timeline.start).as_secs_f64())
}
