//! Quantiles and linear regression.

use std::time::Duration;

/// The quantile `share`, between 0 and 1, of sorted values; zero if there are none.
#[must_use]
pub fn quantile(sorted: &[Duration], share: f64) -> Duration {
    if sorted.is_empty() {
        return Duration::ZERO;
    }
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "an index of a small list"
    )]
    let index = ((sorted.len() - 1) as f64 * share).round() as usize;
    sorted[index.min(sorted.len() - 1)]
}

/// `min / median / p99` in milliseconds.
#[must_use]
pub fn summary(values: &mut [Duration]) -> String {
    values.sort_unstable();
    let ms = |share| quantile(values, share).as_secs_f64() * 1000.0;
    format!("{:.1} / {:.1} / {:.1}", ms(0.0), ms(0.5), ms(0.99))
}

/// A straight line fitted to measured points by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Value at zero.
    pub base: f64,
    /// Increase of the value for each unit.
    pub slope: f64,
    /// Largest distance of a point from the line.
    pub residual: f64,
}

impl Line {
    /// Fits a line to points.
    #[must_use]
    #[allow(clippy::cast_precision_loss, reason = "a handful of points")]
    pub fn fit(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let slope = if variance == 0.0 { 0.0 } else { covariance / variance };
        let base = mean_y - slope * mean_x;
        let distance = |(x, y): &(f64, f64)| (y - base - slope * x).abs();
        let residual = points.iter().map(distance).fold(0.0, f64::max);
        Self { base, slope, residual }
    }

    /// Value at `x`.
    #[must_use]
    pub fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}
