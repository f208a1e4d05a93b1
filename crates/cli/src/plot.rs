//! Plots as inline SVG.

use {
    super::*,
    oleanderstage_core::burn::{LONG, LONG_SLOT, report::Service},
};

const WIDTH: f64 = 900.0;
const HEIGHT: f64 = 200.0;
// The left and the bottom margin hold the labels of the axes.
const LEFT_MARGIN: f64 = 48.0;
const BOTTOM_MARGIN: f64 = 24.0;
const TOP_MARGIN: f64 = 16.0;
const RIGHT_MARGIN: f64 = 12.0;

/// A plot under construction. Coordinates are in units of its view box.
struct Plot {
    /// The SVG elements drawn so far.
    elements: String,
}

impl Plot {
    fn new() -> Self {
        Self { elements: String::new() }
    }

    /// Returns the x coordinate at a share of the width between the margins, from the left.
    fn x(share: f64) -> f64 {
        LEFT_MARGIN + share * (WIDTH - LEFT_MARGIN - RIGHT_MARGIN)
    }

    /// Returns the y coordinate at a share of the height between the margins, from the bottom.
    fn y(share: f64) -> f64 {
        HEIGHT - BOTTOM_MARGIN - share * (HEIGHT - BOTTOM_MARGIN - TOP_MARGIN)
    }

    /// Draws a bar from the bottom to `height`. `x` and `height` are shares.
    fn bar(&mut self, x: (f64, f64), height: f64, color: &str, title: &str) {
        let (left, right) = (Self::x(x.0), Self::x(x.1));
        let top = Self::y(height);
        let _ = write!(
            self.elements,
            "<rect x=\"{left:.1}\" y=\"{top:.1}\" width=\"{:.1}\" height=\"{:.1}\" \
             fill=\"var({color})\"><title>{title}</title></rect>",
            (right - left).max(1.0),
            Self::y(0.0) - top
        );
    }

    fn label(&mut self, x: f64, y: f64, anchor: &str, text: &str) {
        let _ = write!(
            self.elements,
            "<text x=\"{x:.1}\" y=\"{y:.1}\" text-anchor=\"{anchor}\">{text}</text>"
        );
    }

    /// Draws a labelled horizontal line at a share of the height.
    fn grid_line(&mut self, share: f64, text: &str) {
        let y = Self::y(share);
        self.line((LEFT_MARGIN, y), (WIDTH - RIGHT_MARGIN, y), "--line", "");
        self.label(LEFT_MARGIN - 6.0, y + 4.0, "end", text);
    }

    fn line(&mut self, from: (f64, f64), to: (f64, f64), color: &str, dash: &str) {
        let _ = write!(
            self.elements,
            "<line x1=\"{:.1}\" y1=\"{:.1}\" x2=\"{:.1}\" y2=\"{:.1}\" stroke=\"var({color})\" \
             stroke-dasharray=\"{dash}\"/>",
            from.0, from.1, to.0, to.1
        );
    }

    /// Returns the plot as an `<svg>` element.
    fn finish(self, title: &str) -> String {
        format!(
            "<svg viewBox=\"0 0 {WIDTH} {HEIGHT}\" role=\"img\" aria-label=\"{title}\">{}</svg>",
            self.elements
        )
    }
}

/// Plots the burn rate of each slot of the long window on a logarithmic scale, with a line at the
/// rate that uses up the budget in just that window.
pub(crate) fn burn(service: &Service) -> String {
    let slot_count = (LONG.as_secs() / LONG_SLOT.as_secs()) as f64;
    let rate = |bad: u64, requests: u64| {
        bad as f64 / requests.max(1) as f64 / (1.0 - service.objective.share)
    };
    let highest =
        service.series.iter().map(|slot| rate(slot.bad, slot.requests)).fold(0.0, f64::max);
    // The axis ends at the highest rate, but not below 10x.
    let axis_end = highest.max(10.0);
    let height = |rate: f64| (1.0 + rate).ln() / (1.0 + axis_end).ln();
    let mut plot = Plot::new();
    for level in [0.0, 1.0, 10.0, 100.0, 1_000.0].into_iter().filter(|level| *level <= axis_end) {
        plot.grid_line(height(level), &format!("{level}x"));
    }
    for slot in &service.series {
        let slot_rate = rate(slot.bad, slot.requests);
        let color = if slot_rate > 1.0 { "--bad" } else { "--good" };
        let right = 1.0 - slot.age as f64 / slot_count;
        let title =
            format!("{} of {} failed: {}", slot.bad, slot.requests, report::format_rate(slot_rate));
        plot.bar((right - 0.8 / slot_count, right), height(slot_rate), color, &title);
    }
    let allowed = Plot::y(height(1.0));
    plot.line((LEFT_MARGIN, allowed), (WIDTH - RIGHT_MARGIN, allowed), "--mark", "4 3");
    for hours in [72, 48, 24, 0] {
        let text = if hours == 0 { "now".to_owned() } else { format!("{hours} h ago") };
        let anchor = if hours == 0 { "end" } else { "start" };
        plot.label(Plot::x(1.0 - f64::from(hours) / 72.0), HEIGHT - 6.0, anchor, &text);
    }
    plot.finish("Burn rate over the last 72 hours")
}

/// Plots the share of answers within each latency, on a logarithmic scale, with a line at the
/// latency of the objective.
pub(crate) fn latency(service: &Service) -> String {
    let answers: u64 = service.latencies.iter().map(|latency| latency.answers).sum();
    if answers == 0 {
        return "<p>No answers yet.</p>".into();
    }
    let objective_us = service.objective.latency_ms as f64 * 1_000.0;
    let lowest = service.latencies.first().map_or(1.0, |latency| latency.us.max(1) as f64);
    let highest = service.latencies.last().map_or(1.0, |latency| latency.us.max(1) as f64);
    let first_power = lowest.min(objective_us).log10().floor();
    let last_power = highest.max(objective_us).log10().ceil().max(first_power + 1.0);
    let x_of = |us: f64| Plot::x((us.max(1.0).log10() - first_power) / (last_power - first_power));
    let mut plot = Plot::new();
    for (share, text) in [(0.0, "0%"), (0.5, "50%"), (1.0, "100%")] {
        plot.grid_line(share, text);
    }
    let points = curve(service, answers, x_of);
    let _ = write!(
        plot.elements,
        "<polyline points=\"{points}\" fill=\"none\" stroke=\"var(--mark)\" stroke-width=\"2\"/>"
    );
    let x = x_of(objective_us);
    plot.line((x, TOP_MARGIN), (x, HEIGHT - BOTTOM_MARGIN), "--bad", "4 3");
    plot.label(x - 4.0, TOP_MARGIN - 4.0, "end", "objective");
    for power in (first_power as i32)..=(last_power as i32) {
        let us = 10f64.powi(power);
        let anchor = if power == last_power as i32 { "end" } else { "middle" };
        plot.label(x_of(us), HEIGHT - 6.0, anchor, &format_us(us));
    }
    plot.finish("Share of answers within each latency")
}

/// Returns the points of the curve of the share of answers within each latency. `x_of` returns the
/// x coordinate of a latency in microseconds.
fn curve(service: &Service, answers: u64, x_of: impl Fn(f64) -> f64) -> String {
    let lowest = service.latencies.first().map_or(0.0, |latency| latency.us as f64);
    let mut points = format!("{:.1},{:.1}", x_of(lowest), Plot::y(0.0));
    let mut within = 0;
    for latency in &service.latencies {
        within += latency.answers;
        let y = Plot::y(within as f64 / answers as f64);
        let _ = write!(points, " {:.1},{y:.1}", x_of(latency.us as f64));
    }
    points
}

/// Formats a latency in microseconds, milliseconds or seconds, by its size.
fn format_us(us: f64) -> String {
    match us {
        us if us < 1_000.0 => format!("{us} us"),
        us if us < 1_000_000.0 => format!("{} ms", us / 1_000.0),
        us => format!("{} s", us / 1_000_000.0),
    }
}
