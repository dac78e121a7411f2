//! Glyphs of events. Filled glyphs mark failures and starts, hollow ones recoveries and
//! completions.

use crate::timeline::merge::ProcessEnd;
use svg::node::element::Path;
use svg::node::element::path::Data;
use sycamore_core::event::EventKind;

/// Half the width of a glyph, in pixels.
const HALF_SIZE: f64 = 5.0;

/// Shape and colour of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Glyph {
    shape: Shape,
    color: &'static str,
    fill: Fill,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Shape {
    RightTriangle,
    DownTriangle,
    Square,
    Diamond,
    Cross,
    Hourglass,
    Bar,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fill {
    Solid,
    Hollow,
}

impl Glyph {
    /// Returns the glyph of an event, or `None` for `VersionInForce`, which is drawn as a band, and
    /// for `VersionHeard`, which every node records for each version.
    pub fn for_event(kind: EventKind) -> Option<Glyph> {
        let (shape, color, fill) = match kind {
            EventKind::VersionHeard | EventKind::VersionInForce => return None,
            EventKind::Started => (Shape::RightTriangle, "#1a7f37", Fill::Solid),
            EventKind::VersionRefused => (Shape::Diamond, "#cf222e", Fill::Solid),
            EventKind::SourceOverdue => (Shape::Bar, "#d96c00", Fill::Hollow),
            EventKind::SourceLost => (Shape::DownTriangle, "#d96c00", Fill::Solid),
            EventKind::SourceBack => (Shape::DownTriangle, "#d96c00", Fill::Hollow),
            EventKind::SourceListing => (Shape::RightTriangle, "#d96c00", Fill::Hollow),
            EventKind::SourceListed => (Shape::RightTriangle, "#d96c00", Fill::Solid),
            EventKind::ParentChosen => (Shape::Bar, "#0550ae", Fill::Hollow),
            EventKind::ParentOverdue => (Shape::Hourglass, "#0550ae", Fill::Hollow),
            EventKind::ParentLost => (Shape::Bar, "#0550ae", Fill::Solid),
            EventKind::TargetLost => (Shape::Square, "#8f3f1f", Fill::Solid),
            EventKind::TargetBack => (Shape::Square, "#8f3f1f", Fill::Hollow),
            EventKind::TargetLimited => (Shape::DownTriangle, "#8f3f1f", Fill::Solid),
            EventKind::TargetUnlimited => (Shape::DownTriangle, "#8f3f1f", Fill::Hollow),
            EventKind::TargetLeaving => (Shape::Bar, "#8f3f1f", Fill::Solid),
            EventKind::TargetCold => (Shape::RightTriangle, "#8f3f1f", Fill::Solid),
            EventKind::TargetWarm => (Shape::RightTriangle, "#8f3f1f", Fill::Hollow),
            EventKind::EntryReady => (Shape::Diamond, "#8f3f1f", Fill::Hollow),
            EventKind::EntryLeaving => (Shape::Diamond, "#8f3f1f", Fill::Solid),
            EventKind::EntryMissing => (Shape::Hourglass, "#8f3f1f", Fill::Hollow),
            EventKind::EntryGone => (Shape::Cross, "#8f3f1f", Fill::Solid),
            EventKind::Quarantined => (Shape::Diamond, "#8250df", Fill::Solid),
            EventKind::HomesMoving => (Shape::Diamond, "#0a7d7d", Fill::Solid),
            EventKind::HomesMoved => (Shape::Diamond, "#0a7d7d", Fill::Hollow),
            EventKind::Draining => (Shape::Square, "#444", Fill::Solid),
            EventKind::Drained => (Shape::Square, "#444", Fill::Hollow),
            EventKind::ClockGap => (Shape::Hourglass, "#bf3989", Fill::Solid),
            EventKind::SettingsRead => (Shape::Diamond, "#444", Fill::Hollow),
            EventKind::Stopped => (Shape::Bar, "#111", Fill::Solid),
        };
        Some(Glyph { shape, color, fill })
    }

    /// Returns the glyph of a process that ended without a recorded stop.
    pub fn for_end(end: ProcessEnd) -> Option<Glyph> {
        match end {
            ProcessEnd::Running | ProcessEnd::Stopped => None,
            ProcessEnd::Killed => {
                Some(Glyph { shape: Shape::Cross, color: "#cf222e", fill: Fill::Solid })
            }
            ProcessEnd::Unseen => {
                Some(Glyph { shape: Shape::Cross, color: "#888", fill: Fill::Solid })
            }
        }
    }

    /// Draws the glyph centred at the given point.
    pub fn draw(self, x: f64, y: f64) -> Path {
        let path = Path::new().set("d", self.shape.outline(x, y)).set("stroke", self.color);
        let fill = match self.fill {
            Fill::Solid => self.color,
            Fill::Hollow => "white",
        };
        let width = if self.shape == Shape::Cross { 2.5 } else { 1.3 };
        path.set("fill", fill).set("stroke-width", width).set("opacity", 0.9)
    }
}

/// Returns the legend label of a process end.
pub fn end_label(end: ProcessEnd) -> &'static str {
    match end {
        ProcessEnd::Running => "running",
        ProcessEnd::Stopped => "stopped",
        ProcessEnd::Killed => "killed",
        ProcessEnd::Unseen => "no longer answers",
    }
}

impl Shape {
    fn outline(self, x: f64, y: f64) -> Data {
        let r = HALF_SIZE;
        let start = Data::new().move_to((x, y));
        match self {
            Shape::RightTriangle => {
                start.move_by((-r * 0.4, -r)).line_by((r * 1.4, r)).line_by((-r * 1.4, r)).close()
            }
            Shape::DownTriangle => {
                start.move_by((-r, -r * 0.8)).line_by((2.0 * r, 0)).line_by((-r, 1.7 * r)).close()
            }
            Shape::Square => {
                let side = r * 1.6;
                let start = start.move_by((-side / 2.0, -side / 2.0));
                start.line_by((side, 0)).line_by((0, side)).line_by((-side, 0)).close()
            }
            Shape::Diamond => {
                start.move_by((0, -r)).line_by((r, r)).line_by((-r, r)).line_by((-r, -r)).close()
            }
            Shape::Cross => {
                let (side, start) = (2.0 * r, start.move_by((-r, -r)));
                start.line_by((side, side)).move_by((-side, 0)).line_by((side, -side))
            }
            Shape::Hourglass => {
                let (side, start) = (2.0 * r, start.move_by((-r, -r)));
                start.line_by((side, 0)).line_by((-side, side)).line_by((side, 0)).close()
            }
            Shape::Bar => {
                let start = start.move_by((-1.2, -r - 1.0));
                start.line_by((2.4, 0)).line_by((0, 2.0 * r + 2.0)).line_by((-2.4, 0)).close()
            }
        }
    }
}
