//! An SVG plot of the time to first token by prompt length.

use std::fmt::Write;

use super::Report;
use super::convert::to_f64;

const WIDTH: f64 = 760.0;
const HEIGHT: f64 = 420.0;
const MARGIN: f64 = 60.0;
/// The range of the length axis: 1,000 to 1,000,000 tokens, as decimal logarithms.
const LENGTH_DECADES: (f64, f64) = (3.0, 6.0);
/// The range of the time axis: 10 ms to 1,000 s, as decimal logarithms of milliseconds.
const TIME_DECADES: (f64, f64) = (1.0, 6.0);
/// Bins per decade of length.
const BINS_PER_DECADE: u64 = 4;
const COLOURS: [&str; 5] = ["#0b6e4f", "#c1121f", "#e09f3e", "#3a86ff", "#8338ec"];

/// Draws the 95th percentile of each run by prompt length as SVG, with logarithmic axes.
#[must_use]
pub fn plot(title: &str, runs: &[(&str, &Report)]) -> String {
    let mut svg = String::new();
    let _ = writeln!(
        svg,
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH}\" height=\"{HEIGHT}\" \
         font-family=\"sans-serif\" font-size=\"12\">\n\
         <rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n\
         <text x=\"{MARGIN}\" y=\"20\">{title}</text>"
    );
    draw_axes(&mut svg);
    for (index, (name, report)) in runs.iter().enumerate() {
        let colour = COLOURS[index % COLOURS.len()];
        let points: Vec<String> = percentile_curve(report)
            .iter()
            .map(|(length, time)| format!("{:.1},{:.1}", x(*length), y(*time)))
            .collect();
        let line = 40.0 + 16.0 * to_f64(index as u64);
        let _ = writeln!(
            svg,
            "<polyline fill=\"none\" stroke=\"{colour}\" stroke-width=\"2\" points=\"{}\"/>\n\
             <text x=\"{}\" y=\"{line}\" fill=\"{colour}\">{name}</text>",
            points.join(" "),
            MARGIN + 10.0,
        );
    }
    svg.push_str("</svg>\n");
    svg
}

fn draw_axes(svg: &mut String) {
    for (decade, label) in (3_u8..).zip(["1k", "10k", "100k", "1M tokens"]) {
        let at = x(f64::from(decade));
        let bottom = HEIGHT - MARGIN;
        let _ = writeln!(
            svg,
            "<line x1=\"{at}\" y1=\"30\" x2=\"{at}\" y2=\"{bottom}\" stroke=\"#ddd\"/>\n\
             <text x=\"{at}\" y=\"{}\">{label}</text>",
            bottom + 18.0,
        );
    }
    for (decade, label) in (1_u8..).zip(["10 ms", "100 ms", "1 s", "10 s", "100 s", "1000 s"]) {
        let at = y(f64::from(decade));
        let _ = writeln!(
            svg,
            "<line x1=\"{MARGIN}\" y1=\"{at}\" x2=\"{}\" y2=\"{at}\" stroke=\"#ddd\"/>\n\
             <text x=\"8\" y=\"{at}\">{label}</text>",
            WIDTH - 20.0,
        );
    }
}

/// Returns the decimal logarithms of the length and of the 95th percentile of the time per bin.
fn percentile_curve(report: &Report) -> Vec<(f64, f64)> {
    let bin =
        |length: u64| super::convert::to_u64(to_f64(length).log10() * to_f64(BINS_PER_DECADE));
    let mut curve = Vec::new();
    for number in 3 * BINS_PER_DECADE..=6 * BINS_PER_DECADE {
        let mut times: Vec<f64> = report
            .points
            .iter()
            .filter(|(length, _)| bin(*length) == number)
            .map(|(_, time)| *time)
            .collect();
        times.sort_unstable_by(f64::total_cmp);
        if let Some(time) = times.get(times.len() * 95 / 100) {
            curve.push((
                to_f64(number) / to_f64(BINS_PER_DECADE),
                time.log10().min(TIME_DECADES.1),
            ));
        }
    }
    curve
}

fn x(length: f64) -> f64 {
    let fraction = (length - LENGTH_DECADES.0) / (LENGTH_DECADES.1 - LENGTH_DECADES.0);
    MARGIN + fraction * (WIDTH - MARGIN - 80.0)
}

fn y(time: f64) -> f64 {
    let fraction = (time - TIME_DECADES.0) / (TIME_DECADES.1 - TIME_DECADES.0);
    HEIGHT - MARGIN - fraction * (HEIGHT - MARGIN - 30.0)
}
