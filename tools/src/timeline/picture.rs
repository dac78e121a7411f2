//! Renders the timeline as SVG: one lane per VM grouped by availability zone, versions in force as
//! coloured bands, events as glyphs, and a legend.

pub mod glyph;
pub mod scale;

use super::merge::{Lane, Process, Timeline, VersionBand, VersionSpan};
use super::output::{describe_mark, describe_version};
use crate::text::format_utc;
use glyph::Glyph;
use scale::TimeScale;
use std::collections::BTreeSet;
use svg::Document;
use svg::node::element::{Group, Line, Rectangle, Text, Title};
use sycamore_core::Time;

/// Width of the picture. All sizes are in pixels.
const PICTURE_WIDTH: f64 = 1_500.0;
/// Left edge of the lanes, to the right of the VM names.
const LANES_LEFT: f64 = 170.0;
const LANES_RIGHT: f64 = PICTURE_WIDTH - 30.0;
const LANE_HEIGHT: f64 = 18.0;
/// Height of a band within its lane.
const BAND_HEIGHT: f64 = 12.0;
/// Height of a zone heading.
const HEADING_HEIGHT: f64 = 20.0;
/// Height of a row of version labels or legend entries.
const LABEL_ROW_HEIGHT: f64 = 15.0;
/// Rows of version labels above the lanes. Several rows keep labels of close versions readable.
const LABEL_ROWS: usize = 3;
/// Width reserved for a version label.
const LABEL_WIDTH: f64 = 215.0;
const LEGEND_ENTRY_WIDTH: f64 = 180.0;
/// Minimum width of a band that shows its version number.
const MIN_LABELLED_BAND_WIDTH: f64 = 28.0;
/// Top of the version labels.
const LABELS_TOP: f64 = 58.0;

/// Band colours, assigned to versions in rotation.
const VERSION_COLORS: [&str; 8] =
    ["#a6cee3", "#b2df8a", "#fdd49e", "#cab2d6", "#fccde5", "#ccebc5", "#ffed6f", "#bdd7e7"];

/// Renders the timeline.
pub fn render(timeline: &Timeline, title: &str) -> Document {
    let scale = TimeScale::new(timeline.start, timeline.end, LANES_LEFT, LANES_RIGHT);
    let lanes_top = LABELS_TOP + LABEL_ROWS as f64 * LABEL_ROW_HEIGHT + 8.0;
    let placed = place_lanes(&timeline.lanes, lanes_top);
    let lanes_end = placed.iter().map(|lane| lane.y + LANE_HEIGHT).fold(lanes_top, f64::max);
    let renderer = Renderer { timeline, scale, lanes_top, lanes_end };
    let legend = renderer.legend(lanes_end + 44.0);
    let height = lanes_end + 60.0 + legend.height;
    let mut document = Document::new()
        .set("viewBox", (0, 0, PICTURE_WIDTH, height))
        .set("width", PICTURE_WIDTH)
        .set("height", height)
        .set("font-family", "sans-serif")
        .set("font-size", 11)
        .add(Rectangle::new().set("width", "100%").set("height", "100%").set("fill", "white"))
        .add(text(16.0, 24.0, title).set("font-size", 17).set("font-weight", "bold"))
        .add(text(16.0, 43.0, &renderer.subtitle()).set("fill", "#555"))
        .add(renderer.axis())
        .add(renderer.versions());
    for lane in &placed {
        document = document.add(renderer.lane(lane));
    }
    document.add(legend.group)
}

/// A lane with its position in the picture.
struct PlacedLane<'a> {
    lane: &'a Lane,
    /// Top of the lane.
    y: f64,
    /// Whether a zone heading is drawn above the lane.
    heading: bool,
}

/// Stacks the lanes vertically, with space for a heading above each zone.
fn place_lanes(lanes: &[Lane], top: f64) -> Vec<PlacedLane<'_>> {
    let mut y = top;
    let mut placed: Vec<PlacedLane<'_>> = Vec::with_capacity(lanes.len());
    for lane in lanes {
        let heading = placed.last().is_none_or(|above| above.lane.zone != lane.zone);
        y += if heading { HEADING_HEIGHT } else { 0.0 };
        placed.push(PlacedLane { lane, y, heading });
        y += LANE_HEIGHT;
    }
    placed
}

/// Renders the parts of the picture.
struct Renderer<'a> {
    timeline: &'a Timeline,
    scale: TimeScale,
    lanes_top: f64,
    lanes_end: f64,
}

/// The rendered legend and its height.
struct Legend {
    group: Group,
    height: f64,
}

impl Renderer<'_> {
    fn subtitle(&self) -> String {
        let timeline = self.timeline;
        let length = timeline.end.since(timeline.start).as_secs_f64();
        let vms = timeline.lanes.len();
        let processes: usize = timeline.lanes.iter().map(|lane| lane.processes.len()).sum();
        let start = format_utc(timeline.start);
        format!("{start} + {length:.1} s, {vms} VMs, {processes} processes; seconds from the start")
    }

    fn axis(&self) -> Group {
        let mut group = Group::new().set("fill", "#777");
        for tick in self.scale.ticks() {
            let y = self.lanes_end + 16.0;
            let label = text(tick.x, y, &tick.label).set("text-anchor", "middle");
            let line = vertical_line(tick.x, self.lanes_top, self.lanes_end + 4.0);
            group = group.add(line.set("stroke", "#e4e4e4")).add(label);
        }
        group
    }

    /// Renders a line and a label for each version, at the time it first came into force.
    fn versions(&self) -> Group {
        let mut group = Group::new();
        let mut row_ends = [f64::MIN; LABEL_ROWS];
        for span in &self.timeline.versions {
            let x = self.scale.x(span.first);
            let line = vertical_line(x, LABELS_TOP + 4.0, self.lanes_end).set("stroke", "#888");
            group = group
                .add(line.set("stroke-dasharray", "2 3").add(tooltip(&describe_version(span))));
            // A label that fits in no row is omitted; the tooltip of the line has the same text.
            if let Some(row) = row_ends.iter().position(|end| *end <= x) {
                row_ends[row] = x + LABEL_WIDTH;
                group = group.add(self.version_label(span, x, row));
            }
        }
        group
    }

    fn version_label(&self, span: &VersionSpan, x: f64, row: usize) -> Text {
        let y = LABELS_TOP + (row as f64 + 0.8) * LABEL_ROW_HEIGHT;
        let (x, anchor) =
            if x + LABEL_WIDTH > PICTURE_WIDTH { (x - 3.0, "end") } else { (x + 3.0, "start") };
        text(x, y, &describe_version(span)).set("text-anchor", anchor).set("fill", "#333")
    }

    fn lane(&self, placed: &PlacedLane<'_>) -> Group {
        let PlacedLane { lane, y, heading } = placed;
        let mut group = Group::new();
        if *heading {
            let name = format!("{} / {}", lane.region, lane.zone);
            let label = text(16.0, y - 5.0, &name).set("font-weight", "bold");
            let line = Line::new().set("x1", 16).set("x2", LANES_RIGHT).set("stroke", "#bbb");
            group = group.add(line.set("y1", y - 1.0).set("y2", y - 1.0)).add(label);
        }
        let name = text(LANES_LEFT - 8.0, y + 13.0, lane.vm.as_str()).set("text-anchor", "end");
        group = group.add(name);
        for process in &lane.processes {
            group = self.process(group, process, *y);
        }
        group
    }

    fn process(&self, group: Group, process: &Process, y: f64) -> Group {
        let lifetime = self.bar(process.started, process.ended, y).set("fill", "#f1f1f1");
        let mut group =
            group.add(lifetime.set("stroke", "#ccc").add(tooltip("no version in force")));
        for band in &process.bands {
            group = self.band(group, band, y);
        }
        let middle = y + LANE_HEIGHT / 2.0;
        for mark in &process.marks {
            if let Some(glyph) = Glyph::for_event(mark.kind) {
                let x = self.scale.x(mark.at);
                let seconds = mark.at.since(self.timeline.start).as_secs_f64();
                let tooltip = tooltip(&format!("{seconds:.3} s: {}", describe_mark(mark)));
                group = group.add(glyph.draw(x, middle).add(tooltip));
            }
        }
        match Glyph::for_end(process.end) {
            Some(glyph) => group.add(glyph.draw(self.scale.x(process.ended), middle)),
            None => group,
        }
    }

    fn band(&self, group: Group, band: &VersionBand, y: f64) -> Group {
        let name = format!("v{}", band.version);
        let color = self.version_color(band.version);
        let group =
            group.add(self.bar(band.from, band.to, y).set("fill", color).add(tooltip(&name)));
        let (from, to) = (self.scale.x(band.from), self.scale.x(band.to));
        if to - from < MIN_LABELLED_BAND_WIDTH {
            return group;
        }
        let label = text((from + to) / 2.0, y + 12.5, &name).set("text-anchor", "middle");
        group.add(label.set("font-size", 9).set("fill", "#444"))
    }

    fn bar(&self, from: Time, to: Time, y: f64) -> Rectangle {
        let (from, to) = (self.scale.x(from), self.scale.x(to));
        Rectangle::new()
            .set("x", from)
            .set("y", y + (LANE_HEIGHT - BAND_HEIGHT) / 2.0)
            .set("width", (to - from).max(1.0))
            .set("height", BAND_HEIGHT)
    }

    fn version_color(&self, version: u64) -> &'static str {
        let index = self.timeline.versions.iter().position(|span| span.version == version);
        VERSION_COLORS[index.unwrap_or(0) % VERSION_COLORS.len()]
    }

    /// Renders the legend of the glyphs that occur in the picture.
    fn legend(&self, top: f64) -> Legend {
        let processes = || self.timeline.lanes.iter().flat_map(|lane| &lane.processes);
        let kinds: BTreeSet<_> = processes().flat_map(|p| &p.marks).map(|m| m.kind).collect();
        let ends: BTreeSet<_> = processes().map(|process| process.end).collect();
        let event_entries = kinds
            .into_iter()
            .filter_map(|kind| Some((Glyph::for_event(kind)?, kind.name().replace('-', " "))));
        let end_entries = ends.into_iter().filter_map(|end| {
            let glyph = Glyph::for_end(end)?;
            Some((glyph, glyph::end_label(end).to_owned()))
        });
        let columns = ((LANES_RIGHT - LANES_LEFT) / LEGEND_ENTRY_WIDTH).floor();
        let bands = text(16.0, top, "bands: version in force").set("fill", "#555");
        let mut group = Group::new().add(bands);
        let mut height = LABEL_ROW_HEIGHT;
        for (index, (glyph, label)) in event_entries.chain(end_entries).enumerate() {
            let row = (index as f64 / columns).floor();
            let x = LANES_LEFT + (index as f64 - row * columns) * LEGEND_ENTRY_WIDTH;
            let y = top + row * LABEL_ROW_HEIGHT;
            group = group.add(glyph.draw(x, y - 4.0)).add(text(x + 10.0, y, &label));
            height = (row + 1.0) * LABEL_ROW_HEIGHT;
        }
        Legend { group, height }
    }
}

fn vertical_line(x: f64, from: f64, to: f64) -> Line {
    Line::new().set("x1", x).set("x2", x).set("y1", from).set("y2", to)
}

fn text(x: f64, y: f64, content: &str) -> Text {
    Text::new(content).set("x", x).set("y", y)
}

/// Creates a `<title>` element, which viewers show as a tooltip.
fn tooltip(content: &str) -> Title {
    Title::new(content)
}
