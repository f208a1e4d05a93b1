//! Plots as inline SVG.

use {
    super::*,
    oleanderstage_core::burn::{LONG, LONG_SLOT, report::Service},
};

const WIDTH: f64 = 900.0;
const HEIGHT: f64 = 200.0;
/// Room for the labels at the left and at the bottom.
const LEFT: f64 = 48.0;
const BOTTOM: f64 = 24.0;
const TOP: f64 = 16.0;
const RIGHT: f64 = 12.0;

/// The area that a plot draws in.
struct Area {
    body: String,
}

impl Area {
    fn new() -> Self {
        Self { body: String::new() }
    }

    /// Returns the place of a share of the width, from the left.
    fn x(share: f64) -> f64 {
        LEFT + share * (WIDTH - LEFT - RIGHT)
    }

    /// Returns the place of a share of the height, from the bottom.
    fn y(share: f64) -> f64 {
        HEIGHT - BOTTOM - share * (HEIGHT - BOTTOM - TOP)
    }

    fn bar(&mut self, x: (f64, f64), height: f64, color: &str, title: &str) {
        let (left, right) = (Self::x(x.0), Self::x(x.1));
        let top = Self::y(height);
        let _ = write!(
            self.body,
            "<rect x=\"{left:.1}\" y=\"{top:.1}\" width=\"{:.1}\" height=\"{:.1}\" \
             fill=\"var({color})\"><title>{title}</title></rect>",
            (right - left).max(1.0),
            Self::y(0.0) - top
        );
    }

    fn label(&mut self, x: f64, y: f64, anchor: &str, text: &str) {
        let _ = write!(
            self.body,
            "<text x=\"{x:.1}\" y=\"{y:.1}\" text-anchor=\"{anchor}\">{text}</text>"
        );
    }

    fn level(&mut self, share: f64, text: &str) {
        let y = Self::y(share);
        self.line((LEFT, y), (WIDTH - RIGHT, y), "--line", "");
        self.label(LEFT - 6.0, y + 4.0, "end", text);
    }

    fn line(&mut self, from: (f64, f64), to: (f64, f64), color: &str, dash: &str) {
        let _ = write!(
            self.body,
            "<line x1=\"{:.1}\" y1=\"{:.1}\" x2=\"{:.1}\" y2=\"{:.1}\" stroke=\"var({color})\" \
             stroke-dasharray=\"{dash}\"/>",
            from.0, from.1, to.0, to.1
        );
    }

    fn finish(self, title: &str) -> String {
        format!(
            "<svg viewBox=\"0 0 {WIDTH} {HEIGHT}\" role=\"img\" aria-label=\"{title}\">{}</svg>",
            self.body
        )
    }
}

/// Plots the burn rate of each slot of the long window on a logarithmic scale, with a line at the
/// rate that uses up the budget in just that window.
pub(crate) fn burn(service: &Service) -> String {
    let slots = (LONG.as_secs() / LONG_SLOT.as_secs()) as f64;
    let rate = |bad: u64, requests: u64| {
        bad as f64 / requests.max(1) as f64 / (1.0 - service.objective.share)
    };
    let highest =
        service.series.iter().map(|slot| rate(slot.bad, slot.requests)).fold(0.0, f64::max);
    let top = highest.max(10.0);
    let share = |rate: f64| (1.0 + rate).ln() / (1.0 + top).ln();
    let mut area = Area::new();
    for level in [0.0, 1.0, 10.0, 100.0, 1_000.0].into_iter().filter(|level| *level <= top) {
        area.level(share(level), &format!("{level}x"));
    }
    for slot in &service.series {
        let value = rate(slot.bad, slot.requests);
        let color = if value > 1.0 { "--bad" } else { "--good" };
        let right = 1.0 - slot.age as f64 / slots;
        let title = format!("{} of {} failed: {}", slot.bad, slot.requests, report::rate(value));
        area.bar((right - 0.8 / slots, right), share(value), color, &title);
    }
    let allowed = Area::y(share(1.0));
    area.line((LEFT, allowed), (WIDTH - RIGHT, allowed), "--mark", "4 3");
    for hours in [72, 48, 24, 0] {
        let text = if hours == 0 { "now".to_owned() } else { format!("{hours} h ago") };
        let anchor = if hours == 0 { "end" } else { "start" };
        area.label(Area::x(1.0 - f64::from(hours) / 72.0), HEIGHT - 6.0, anchor, &text);
    }
    area.finish("Burn rate over the last 72 hours")
}

/// Plots the share of answers within each latency, on a scale of powers of ten.
pub(crate) fn latency(service: &Service) -> String {
    let all: u64 = service.latencies.iter().map(|latency| latency.answers).sum();
    if all == 0 {
        return "<p>No answers yet.</p>".into();
    }
    let promised = service.objective.latency_ms as f64 * 1_000.0;
    let lowest = service.latencies.first().map_or(1.0, |latency| latency.us.max(1) as f64);
    let highest = service.latencies.last().map_or(1.0, |latency| latency.us.max(1) as f64);
    let first = lowest.min(promised).log10().floor();
    let last = highest.max(promised).log10().ceil().max(first + 1.0);
    let place = |us: f64| Area::x((us.max(1.0).log10() - first) / (last - first));
    let mut area = Area::new();
    for (share, text) in [(0.0, "0%"), (0.5, "50%"), (1.0, "100%")] {
        area.level(share, text);
    }
    let curve = curve(service, all, place);
    let _ = write!(
        area.body,
        "<polyline points=\"{curve}\" fill=\"none\" stroke=\"var(--mark)\" stroke-width=\"2\"/>"
    );
    let x = place(promised);
    area.line((x, TOP), (x, HEIGHT - BOTTOM), "--bad", "4 3");
    area.label(x - 4.0, TOP - 4.0, "end", "objective");
    for power in (first as i32)..=(last as i32) {
        let us = 10f64.powi(power);
        let anchor = if power == last as i32 { "end" } else { "middle" };
        area.label(place(us), HEIGHT - 6.0, anchor, &scale(us));
    }
    area.finish("Share of answers within each latency")
}

/// Returns the points of the share of answers within each latency.
fn curve(service: &Service, all: u64, place: impl Fn(f64) -> f64) -> String {
    let lowest = service.latencies.first().map_or(0.0, |latency| latency.us as f64);
    let mut points = format!("{:.1},{:.1}", place(lowest), Area::y(0.0));
    let mut within = 0;
    for latency in &service.latencies {
        within += latency.answers;
        let y = Area::y(within as f64 / all as f64);
        let _ = write!(points, " {:.1},{y:.1}", place(latency.us as f64));
    }
    points
}

fn scale(us: f64) -> String {
    match us {
        us if us < 1_000.0 => format!("{us} us"),
        us if us < 1_000_000.0 => format!("{} ms", us / 1_000.0),
        us => format!("{} s", us / 1_000_000.0),
    }
}
