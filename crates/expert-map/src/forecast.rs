//! Forecasts expert loads from rows that are noisy, drift and sometimes jump.
//!
//! Averages over more periods suppress noise but lag behind drift. Several averages are therefore maintained in
//! parallel, and the one with the smallest recent prediction error is used. A load that deviates from its average by
//! far more than the typical error has jumped. Its averages restart from the new load, unless earlier jumps of that
//! expert did not persist.

/// Weights of a new row in the competing averages.
const GAINS: [f64; 4] = [0.1, 0.25, 0.5, 0.8];
/// Weight of a new error in the recorded errors.
const ERROR_GAIN: f64 = 0.25;
/// Weight of a new observation in the persistence of an expert's jumps.
const PERSISTENCE_GAIN: f64 = 0.6;
/// Ratio of the standard deviation to the median absolute deviation of normally distributed errors.
const STD_DEV_PER_MEDIAN: f64 = 1.48;
/// Assumed error before any is known, as a ratio.
const INITIAL_ERROR: f64 = 0.15;
/// Error of a load that counts as a jump, in multiples of the typical error.
const JUMP_RATIO: f64 = 5.0;
/// Smallest error that counts as a jump, as a ratio.
const MIN_JUMP: f64 = 0.3;
/// Share of the load that has to jump for the whole layer to count as jumped.
const LAYER_JUMP_SHARE: f64 = 0.3;
/// Persistence below which the jumps of an expert are treated as temporary.
const MIN_PERSISTENCE: f64 = 0.5;
/// Share of the mean load below which differences between loads are ignored.
const LOAD_FLOOR: f64 = 1e-3;

/// The forecast of one layer.
#[derive(Debug, Clone)]
pub struct Forecast {
    /// One average for each of [`GAINS`], with one level per expert.
    averages: Vec<Average>,
    /// Typical error of a load relative to the best average, as a ratio.
    typical_error: f64,
    /// The jump history of each expert.
    jumps: Vec<JumpHistory>,
    rows: u32,
}

#[derive(Debug, Clone)]
struct Average {
    gain: f64,
    levels: Vec<f64>,
    /// Recent mean error, as a ratio.
    error: f64,
}

#[derive(Debug, Clone, Copy)]
struct JumpHistory {
    /// Estimated probability that a jump persists, from 0 to 1.
    persistence: f64,
    /// The level before the jump in the last row, if there was one.
    level_before: Option<f64>,
    /// The load immediately after that jump.
    load_after: f64,
    /// The number of rows in the expert's averages.
    rows: u32,
}

impl Forecast {
    /// Creates a forecast of `experts` loads without any rows.
    pub fn new(experts: usize) -> Self {
        let average = |gain| Average {
            gain,
            levels: vec![0.0; experts],
            error: INITIAL_ERROR,
        };
        let jump = JumpHistory {
            persistence: 1.0,
            level_before: None,
            load_after: 0.0,
            rows: 1,
        };
        Self {
            averages: GAINS.into_iter().map(average).collect(),
            typical_error: INITIAL_ERROR,
            jumps: vec![jump; experts],
            rows: 0,
        }
    }

    /// Adds the loads of one period.
    pub fn observe(&mut self, row: &[f64]) {
        if self.rows == 0 {
            for average in &mut self.averages {
                average.levels.copy_from_slice(row);
            }
        } else {
            self.update(row);
        }
        self.rows += 1;
    }

    /// Returns the loads expected in the next period.
    pub fn levels(&self) -> &[f64] {
        &self.averages[self.best_average()].levels
    }

    /// Returns the typical error of a load relative to its forecast, as a ratio.
    pub fn typical_error(&self) -> f64 {
        self.typical_error
    }

    fn best_average(&self) -> usize {
        let errors = self.averages.iter().map(|a| a.error).enumerate();
        let best = errors.min_by(|a, b| a.1.total_cmp(&b.1));
        best.map_or(0, |(at, _)| at)
    }

    fn update(&mut self, row: &[f64]) {
        let floor = LOAD_FLOOR * row.iter().sum::<f64>() / row.len() as f64 + f64::MIN_POSITIVE;
        let best = self.best_average();
        let errors: Vec<f64> = row
            .iter()
            .zip(&self.averages[best].levels)
            .map(|(load, level)| log_ratio(*load, *level, floor).abs())
            .collect();
        let jump_threshold = (JUMP_RATIO * self.typical_error).max(MIN_JUMP);
        let has_jumped = |pair: &(&f64, &f64)| *pair.0 > jump_threshold;
        let jumped_load: f64 = errors.iter().zip(row).filter(has_jumped).map(|(_, load)| load).sum();
        let is_layer_jump = jumped_load > LAYER_JUMP_SHARE * row.iter().sum::<f64>();
        for (expert, error) in errors.iter().enumerate() {
            self.update_persistence(expert, row[expert], floor);
            let jumped = is_layer_jump || *error > jump_threshold;
            let level = self.averages[best].levels[expert];
            self.jumps[expert].level_before = jumped.then_some(level);
            self.jumps[expert].load_after = row[expert];
            let restarts = self.jumps[expert].restarts();
            self.jumps[expert].rows = if restarts { 1 } else { self.jumps[expert].rows + 1 };
        }
        for average in &mut self.averages {
            average.update(row, &self.jumps, floor);
        }
        let mut ordinary: Vec<f64> = errors.into_iter().filter(|e| *e <= jump_threshold).collect();
        if ordinary.len() * 2 > row.len() {
            ordinary.sort_by(f64::total_cmp);
            let std_dev = ordinary[ordinary.len() / 2] * STD_DEV_PER_MEDIAN;
            self.typical_error += ERROR_GAIN * (std_dev - self.typical_error);
        }
    }

    /// Updates the persistence of jumps: checks whether the current load is closer to the load after the last jump than
    /// to the level before it.
    fn update_persistence(&mut self, expert: usize, load: f64, floor: f64) {
        let jump = &mut self.jumps[expert];
        let Some(level_before) = jump.level_before else { return };
        let persisted = log_ratio(load, jump.load_after, floor).abs() < log_ratio(load, level_before, floor).abs();
        let observed = if persisted { 1.0 } else { 0.0 };
        jump.persistence += PERSISTENCE_GAIN * (observed - jump.persistence);
    }
}

impl JumpHistory {
    fn restarts(&self) -> bool {
        self.level_before.is_some() && self.persistence >= MIN_PERSISTENCE
    }
}

impl Average {
    fn update(&mut self, row: &[f64], jumps: &[JumpHistory], floor: f64) {
        let mut sum = 0.0;
        let mut weight = f64::MIN_POSITIVE;
        for (expert, load) in row.iter().enumerate() {
            let jump = &jumps[expert];
            let level = &mut self.levels[expert];
            if jump.level_before.is_none() {
                sum += (load - *level).abs();
                weight += load.max(floor);
            }
            let restarts = jump.restarts();
            // All rows have equal weight until the average covers enough rows for its own gain to apply.
            let gain = self.gain.max(1.0 / f64::from(jump.rows));
            *level = if restarts {
                *load
            } else {
                *level + gain * (load - *level)
            };
        }
        if weight > floor {
            self.error += ERROR_GAIN * (sum / weight - self.error);
        }
    }
}

fn log_ratio(load: f64, level: f64, floor: f64) -> f64 {
    ((load + floor) / (level + floor)).ln()
}
