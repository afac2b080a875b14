//! Linear regression.

use std::fmt::Display;
use std::fmt::Formatter;

/// A least-squares line and its coefficient of determination.
pub struct Fit {
    slope: f64,
    intercept: f64,
    r_squared: f64,
}

impl Fit {
    /// Fits a line to `points`.
    pub fn of(points: &[(f64, f64)]) -> Self {
        let count = points.iter().map(|_| 1.0).sum::<f64>();
        let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
        let xy: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
        let xx: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        let yy: f64 = points.iter().map(|p| (p.1 - mean_y).powi(2)).sum();
        let slope = xy / xx;
        Self {
            slope,
            intercept: mean_y - slope * mean_x,
            r_squared: if yy == 0.0 { 1.0 } else { xy * xy / (xx * yy) },
        }
    }
}

impl Display for Fit {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        let Self {
            slope,
            intercept,
            r_squared,
        } = self;
        write!(
            f,
            "{intercept:.2} + {slope:.4} x members (r2 {r_squared:.3})"
        )
    }
}
