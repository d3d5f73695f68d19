//! Max-min fair allocation.

/// Returns the level up to which each demand is met when `capacity` is divided
/// so that no share can grow without reducing a smaller one, or infinity if all
/// demands are met.
pub fn fair_level(demands: &[f64], capacity: f64) -> f64 {
    let mut sorted = demands.to_vec();
    sorted.sort_by(f64::total_cmp);
    let mut left = capacity;
    for (met, demand) in sorted.iter().enumerate() {
        let level = left / (sorted.len() - met) as f64;
        if *demand > level {
            return level;
        }
        left -= demand;
    }
    f64::INFINITY
}
