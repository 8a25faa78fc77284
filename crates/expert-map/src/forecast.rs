//! Forecast of expert loads from noisy, drifting and sometimes jumping rows.
//!
//! Averages over more periods suppress noise and lag behind drift. Several averages run side by side and the one that
//! has predicted best lately is used. A load that leaves its average by far more than the usual error has jumped; its
//! averages start anew there, unless such jumps have turned out not to last.

/// Shares of a new row in the averages that compete.
const GAINS: [f64; 4] = [0.1, 0.25, 0.5, 0.8];
/// Share of a new error in an average's record.
const ERROR_GAIN: f64 = 0.25;
/// Usual error before any is known, as a ratio.
const FIRST_ERROR: f64 = 0.15;
/// Errors, in multiples of the usual one, from which on a load has jumped.
const JUMP: f64 = 5.0;
/// Smallest error that counts as a jump, as a ratio.
const SMALLEST_JUMP: f64 = 0.3;
/// Share of the load that has to jump for the whole layer to count as jumped.
const EVERYWHERE: f64 = 0.3;
/// Confidence below which jumps are taken not to last.
const LASTING: f64 = 0.5;
/// Share of a mean load below which loads are not told apart.
const FLOOR: f64 = 1e-3;

/// Forecast of one layer.
#[derive(Debug, Clone)]
pub struct Forecast {
    /// One average for each of [`GAINS`]; each has a level an expert.
    averages: Vec<Average>,
    /// Usual error of a load against the best average, as a ratio.
    usual: f64,
    /// What is known of each expert's jumps.
    jumps: Vec<Jump>,
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
struct Jump {
    /// Confidence that a jump lasts, from 0 to 1.
    lasts: f64,
    /// Level before the jump of the last row, if there was one.
    before: Option<f64>,
    /// Load right after that jump.
    after: f64,
    /// Rows that the expert's averages are made of.
    rows: u32,
}

impl Forecast {
    /// A forecast of `experts` loads, before any row.
    pub fn new(experts: usize) -> Self {
        let average = |gain| Average {
            gain,
            levels: vec![0.0; experts],
            error: FIRST_ERROR,
        };
        let jump = Jump {
            lasts: 1.0,
            before: None,
            after: 0.0,
            rows: 1,
        };
        Self {
            averages: GAINS.into_iter().map(average).collect(),
            usual: FIRST_ERROR,
            jumps: vec![jump; experts],
            rows: 0,
        }
    }

    /// Takes the loads of one period.
    pub fn observe(&mut self, row: &[f64]) {
        if self.rows == 0 {
            for average in &mut self.averages {
                average.levels.copy_from_slice(row);
            }
        } else {
            self.learn(row);
        }
        self.rows += 1;
    }

    /// The loads to expect in the next period.
    pub fn levels(&self) -> &[f64] {
        &self.averages[self.best()].levels
    }

    /// Usual error of a load against its forecast, as a ratio.
    pub fn typical_error(&self) -> f64 {
        self.usual
    }

    fn best(&self) -> usize {
        let errors = self.averages.iter().map(|a| a.error).enumerate();
        let best = errors.min_by(|a, b| a.1.total_cmp(&b.1));
        best.map_or(0, |(at, _)| at)
    }

    fn learn(&mut self, row: &[f64]) {
        let floor = FLOOR * row.iter().sum::<f64>() / row.len() as f64 + f64::MIN_POSITIVE;
        let best = self.best();
        let errors: Vec<f64> = row
            .iter()
            .zip(&self.averages[best].levels)
            .map(|(load, level)| ratio(*load, *level, floor).abs())
            .collect();
        let far = (JUMP * self.usual).max(SMALLEST_JUMP);
        let moved = |pair: &(&f64, &f64)| *pair.0 > far;
        let moved: f64 = errors.iter().zip(row).filter(moved).map(|(_, load)| load).sum();
        let everywhere = moved > EVERYWHERE * row.iter().sum::<f64>();
        for (expert, error) in errors.iter().enumerate() {
            self.learn_jump(expert, row[expert], floor);
            let jumped = everywhere || *error > far;
            let level = self.averages[best].levels[expert];
            self.jumps[expert].before = jumped.then_some(level);
            self.jumps[expert].after = row[expert];
            let starts_anew = self.jumps[expert].starts_anew();
            self.jumps[expert].rows = if starts_anew { 1 } else { self.jumps[expert].rows + 1 };
        }
        for average in &mut self.averages {
            average.learn(row, &self.jumps, floor);
        }
        let mut calm: Vec<f64> = errors.into_iter().filter(|e| *e <= far).collect();
        if calm.len() * 2 > row.len() {
            calm.sort_by(f64::total_cmp);
            let median = calm[calm.len() / 2] * 1.48;
            self.usual += ERROR_GAIN * (median - self.usual);
        }
    }

    /// Judges the jump of the row before by the load that followed it.
    fn learn_jump(&mut self, expert: usize, load: f64, floor: f64) {
        let jump = &mut self.jumps[expert];
        let Some(before) = jump.before else { return };
        let stayed = ratio(load, jump.after, floor).abs() < ratio(load, before, floor).abs();
        let verdict = if stayed { 1.0 } else { 0.0 };
        jump.lasts += 0.6 * (verdict - jump.lasts);
    }
}

impl Jump {
    fn starts_anew(&self) -> bool {
        self.before.is_some() && self.lasts >= LASTING
    }
}

impl Average {
    fn learn(&mut self, row: &[f64], jumps: &[Jump], floor: f64) {
        let mut sum = 0.0;
        let mut weight = f64::MIN_POSITIVE;
        for (expert, load) in row.iter().enumerate() {
            let jump = &jumps[expert];
            let level = &mut self.levels[expert];
            if jump.before.is_none() {
                sum += (load - *level).abs();
                weight += load.max(floor);
            }
            let starts_anew = jump.starts_anew();
            // An average of few rows counts them alike; only then does it begin to forget.
            let gain = self.gain.max(1.0 / f64::from(jump.rows));
            *level = if starts_anew {
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

fn ratio(load: f64, level: f64, floor: f64) -> f64 {
    ((load + floor) / (level + floor)).ln()
}
