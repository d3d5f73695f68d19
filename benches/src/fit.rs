//! Least-squares fit of a line to measured points.

use std::fmt;

/// A line fitted to measured points.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Line {
    /// Value at size zero.
    pub base: f64,
    /// Increase per unit of size.
    pub slope: f64,
    /// Coefficient of determination: share of the variance that the line explains, at most 1.
    pub r_squared: f64,
}

impl Line {
    /// Fits a line through points of (size, value).
    ///
    /// # Panics
    ///
    /// Panics if there are fewer than two points.
    pub fn fit(points: &[(f64, f64)]) -> Self {
        assert!(points.len() >= 2, "fitting a line needs at least two points");
        let count = points.len() as f64;
        let mean_x = points.iter().map(|it| it.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|it| it.1).sum::<f64>() / count;
        let covariance: f64 = points.iter().map(|it| (it.0 - mean_x) * (it.1 - mean_y)).sum();
        let variance: f64 = points.iter().map(|it| (it.0 - mean_x).powi(2)).sum();
        let slope = if variance == 0.0 { 0.0 } else { covariance / variance };
        let base = mean_y - slope * mean_x;
        let total: f64 = points.iter().map(|it| (it.1 - mean_y).powi(2)).sum();
        let residual: f64 = points.iter().map(|it| (it.1 - base - slope * it.0).powi(2)).sum();
        let r_squared = if total == 0.0 { 1.0 } else { 1.0 - residual / total };
        Self { base, slope, r_squared }
    }

    /// Returns the fitted value at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.4} + {:.4} n (R² {:.4})", self.base, self.slope, self.r_squared)
    }
}
