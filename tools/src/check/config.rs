//! Command line of `sycamore-check`.

use crate::command_line::{self, CommandLine, usage};
use getopts::Matches;
use std::path::PathBuf;
use sycamore_core::{Name, Result};

/// Parsed command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Publication to check.
    pub candidate: Files,
    /// Publication in force, to compare with.
    pub previous: Option<Files>,
    /// Version of the `in-force` value to print; defaults to the next version.
    pub publish_version: Option<u64>,
    /// Output format of the report.
    pub format: Format,
}

/// Files of one publication.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Files {
    /// Body of the key `preset/<name>`.
    pub preset: PathBuf,
    /// Value of the key `in-force`.
    pub in_force: Option<PathBuf>,
    /// Additional parts of the preset.
    pub parts: Vec<PartFile>,
}

/// File with an additional part of a preset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartFile {
    /// Key of the part.
    pub key: Name,
    pub path: PathBuf,
}

/// Output format of the report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Human-readable text.
    Text,
    /// A single JSON object.
    Json,
}

/// Defines the options of the tool.
pub fn command_line() -> CommandLine {
    CommandLine::new("sycamore-check", "PRESET.json [options]")
        .with_value("in-force", "value of the key in-force that publishes the preset", "FILE")
        .with_values("part", "part of the preset: its key and a file with its value", "KEY=FILE")
        .with_value("previous", "preset in force, to compare with", "FILE")
        .with_value("previous-in-force", "current value of the key in-force", "FILE")
        .with_values("previous-part", "part of the preset in force", "KEY=FILE")
        .with_value("publish-version", "version of the in-force value to print", "N")
        .with_value("format", "text (default) or json", "FORMAT")
}

impl Config {
    /// Parses the options defined by [`command_line()`].
    pub fn parse(matches: &Matches) -> Result<Config> {
        let [preset] = matches.free.as_slice() else {
            return Err(usage(format!("expected 1 preset file, found {}", matches.free.len())));
        };
        let publish_version = command_line::value(matches, "publish-version")?;
        if publish_version.is_some() && matches.opt_present("in-force") {
            return Err(usage("--publish-version cannot be combined with --in-force"));
        }
        let formats = [("text", Format::Text), ("json", Format::Json)];
        Ok(Config {
            candidate: files(matches, preset, "in-force", "part")?,
            previous: previous(matches)?,
            publish_version,
            format: command_line::choice(matches, "format", &formats)?,
        })
    }
}

fn previous(matches: &Matches) -> Result<Option<Files>> {
    let Some(preset) = matches.opt_str("previous") else {
        for option in ["previous-in-force", "previous-part"] {
            if matches.opt_present(option) {
                return Err(usage(format!("--{option} requires --previous")));
            }
        }
        return Ok(None);
    };
    files(matches, &preset, "previous-in-force", "previous-part").map(Some)
}

fn files(matches: &Matches, preset: &str, in_force: &str, part: &str) -> Result<Files> {
    let parts = matches.opt_strs(part);
    let parts: Result<Vec<_>> = parts.iter().map(|text| part_file(part, text)).collect();
    let in_force = matches.opt_str(in_force).map(PathBuf::from);
    Ok(Files { preset: preset.into(), in_force, parts: parts? })
}

fn part_file(option: &str, text: &str) -> Result<PartFile> {
    let invalid = || usage(format!("--{option}: found {text:?}, expected KEY=FILE"));
    let (key, path) = text.split_once('=').ok_or_else(invalid)?;
    let key = Name::new(key.to_owned()).ok_or_else(invalid)?;
    Ok(PartFile { key, path: path.into() })
}
